package org.geraniumreach.gateway.limit;

import java.time.Duration;

/**
 * Spaces the calls to a limited target by the generic cell rate algorithm.
 *
 * <p>Invariant: in any span of time, at most the rate times the span and {@link #BURST}, one call, and {@link #MAXIMUM_DEBT} calls are
 * taken. A new bucket has no call free, since a former owner may have taken some. Confined to the event loop.
 */
final class LimitBucket {

    /** Unused time that may be used later, so that callers who come in clumps can use the whole rate. */
    static final Duration BURST = Duration.ofMillis(500);

    /** Calls that may be taken before they are free by those that must not be starved. */
    static final int MAXIMUM_DEBT = 1;

    private static final Duration MAXIMUM_FIRST_WAIT = Duration.ofSeconds(1);

    private long takenAt;
    private long nextFreeAt;

    LimitBucket(RequestRate rate, long now) {
        takenAt = now;
        nextFreeAt = now + BURST.toNanos() + Math.min(MAXIMUM_FIRST_WAIT.toNanos(), intervalNanos(rate));
    }

    private static long intervalNanos(RequestRate rate) {
        return rate.interval().toNanos();
    }

    /** Returns the time until a call is free, zero if one is free now. */
    Duration untilFree(RequestRate rate, long now) {
        return Duration.ofNanos(Math.max(0, nextFreeAt(rate) - BURST.toNanos() - now));
    }

    /** After the rate has been raised, the long intervals of the former rate no longer count. */
    private long nextFreeAt(RequestRate rate) {
        return Math.min(nextFreeAt, takenAt + BURST.toNanos() + (1 + MAXIMUM_DEBT) * intervalNanos(rate));
    }

    /** Takes a call. */
    void take(RequestRate rate, long now) {
        nextFreeAt = Math.max(nextFreeAt(rate), now) + intervalNanos(rate);
        takenAt = now;
    }
}
