package org.geraniumreach.gateway.request;

import java.time.Duration;

/**
 * When a request came to this entry.
 *
 * <p>A request may wait in the queue of new connections or unread, and then until the event loop takes it up. Immutable and safe for use
 * by several threads.
 *
 * @param arrivedAt the earliest time at which it can have arrived, in nanoseconds of the monotonic clock; its caller's time runs from then
 * @param readAt the time at which it had been read, in nanoseconds of the same clock
 */
public record Arrival(long arrivedAt, long readAt) {

    /**
     * Obtains the arrival of a request that has not waited.
     *
     * @param nanos the time, in nanoseconds of the monotonic clock
     * @return the arrival, not null
     */
    public static Arrival at(long nanos) {
        return new Arrival(nanos, nanos);
    }

    /**
     * Gets the longest time for which the request can have waited unread.
     *
     * @return the time, not negative, not null
     */
    public Duration unread() {
        return Duration.ofNanos(readAt - arrivedAt);
    }

    /**
     * Gets the time since the request was read.
     *
     * @param now the time, in nanoseconds of the monotonic clock
     * @return the time, not null
     */
    public Duration sinceRead(long now) {
        return Duration.ofNanos(now - readAt);
    }

    /**
     * Gets the longest time since the request arrived.
     *
     * @param now the time, in nanoseconds of the monotonic clock
     * @return the time, not null
     */
    public Duration age(long now) {
        return Duration.ofNanos(now - arrivedAt);
    }
}
