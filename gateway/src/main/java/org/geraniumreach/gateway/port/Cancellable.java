package org.geraniumreach.gateway.port;

/** An operation that can be cancelled. Cancelling it after its end has no effect. */
@FunctionalInterface
public interface Cancellable {

    /** An operation that has already ended. */
    Cancellable NOOP = () -> {};

    /** Cancels the operation; its callbacks are not called afterwards. */
    void cancel();
}
