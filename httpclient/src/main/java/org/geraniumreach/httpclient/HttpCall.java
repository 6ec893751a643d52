package org.geraniumreach.httpclient;

/**
 * A call in progress.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface HttpCall {

    /** Closes the call's connection, after which its listener is not called. Has no effect once the call has ended. */
    void cancel();
}
