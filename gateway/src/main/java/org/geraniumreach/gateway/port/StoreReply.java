package org.geraniumreach.gateway.port;

/**
 * What came of a call of the store.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param <T> what a call gives that succeeds
 */
public sealed interface StoreReply<T> {

    /**
     * It succeeded.
     *
     * @param <T> what the call gives
     * @param value what it gave
     */
    record Value<T>(T value) implements StoreReply<T> {}

    /**
     * The changes asked for are not kept any more; all has to be read anew.
     *
     * @param <T> what the call gives
     */
    record HistoryLost<T>() implements StoreReply<T> {}

    /**
     * Nothing was done.
     *
     * @param <T> what the call gives
     * @param reason why, for the log
     */
    record Refused<T>(String reason) implements StoreReply<T> {}

    /**
     * There was no answer; a write may have been done, or may be done yet.
     *
     * @param <T> what the call gives
     * @param reason what happened, for the log
     */
    record Unknown<T>(String reason) implements StoreReply<T> {}
}
