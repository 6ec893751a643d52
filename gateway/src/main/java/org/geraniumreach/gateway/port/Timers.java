package org.geraniumreach.gateway.port;

import java.time.Duration;

/**
 * Runs actions later on the event loop.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface Timers {

    /**
     * Runs an action after a time.
     *
     * @param delay the time, not null
     * @param action the action, not null
     * @return cancels the action, not null
     */
    Cancellable after(Duration delay, Runnable action);
}
