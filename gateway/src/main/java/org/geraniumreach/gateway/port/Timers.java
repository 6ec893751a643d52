package org.geraniumreach.gateway.port;

import java.time.Duration;

/**
 * Schedules actions on the event loop.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface Timers {

    /**
     * Schedules an action.
     *
     * @param delay the time after which the action runs, not null
     * @param action the action, not null
     * @return cancels the action, not null
     */
    Cancellable schedule(Duration delay, Runnable action);
}
