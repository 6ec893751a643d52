package org.geraniumreach.httpclient;

/**
 * A call under way.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface HttpCall {

    /** Closes the call's connection; its listener hears no more. Does nothing once the call has ended. */
    void cancel();
}
