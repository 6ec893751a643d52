package org.geraniumreach.gateway.limit;

import java.time.Duration;

/**
 * Spaces the requests to a limited target by the generic cell rate algorithm.
 *
 * <p>Invariant: in any span of time, at most one request more is taken than the rate times the span and {@link #BURST}. A new bucket
 * has no request free, since a former owner may have taken some. Confined to the event loop.
 */
final class LimitBucket {

    /** Unused time that may be used later, so that callers who come in clumps can use the whole rate. */
    static final Duration BURST = Duration.ofMillis(200);

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

    /** Returns the time until a request is free, zero if one is free now. */
    Duration untilFree(RequestRate rate, long now) {
        return Duration.ofNanos(Math.max(0, nextFreeAt(rate) - BURST.toNanos() - now));
    }

    /** After the rate has been raised, the long intervals of the former rate no longer count. */
    private long nextFreeAt(RequestRate rate) {
        return Math.min(nextFreeAt, takenAt + BURST.toNanos() + intervalNanos(rate));
    }

    /** Takes a request. */
    void take(RequestRate rate, long now) {
        nextFreeAt = Math.max(nextFreeAt(rate), now) + intervalNanos(rate);
        takenAt = now;
    }
}
