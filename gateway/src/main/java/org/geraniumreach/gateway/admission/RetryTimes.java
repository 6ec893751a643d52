package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.model.AccountId;

/**
 * Times after which rejected requests may come back.
 *
 * <p>Intended for accounts of which some repeat rejected requests at once and others wait. Invariants: the accounts of one urgency that are
 * rejected one after the other get rising times, spaced by the prefill time of each, and so do the requests of one account, unless
 * {@link #LONGEST} is reached; the rejections of one account do not delay others. Confined to the event loop.
 */
final class RetryTimes {

    /** Covers the link delays of a rejection and the return. */
    static final Duration SHORTEST = Duration.ofMillis(50);

    /** Several times the longest objective; a caller that waits for longer finds a different load. */
    static final Duration LONGEST = Duration.ofSeconds(10);

    /** Keeps returns apart whose prefill time is short or unknown. */
    private static final Duration SMALLEST_SPACING = Duration.ofMillis(2);

    private final long[] nextReturnOfClass = new long[RequestPriority.LEAST_URGENT + 1];
    private final Map<Key, Long> nextReturns = new HashMap<>();

    private record Key(int urgency, Optional<AccountId> account) {}

    RetryTimes() {
        Arrays.fill(nextReturnOfClass, Long.MIN_VALUE);
    }

    /**
     * Assigns the next time of an account.
     *
     * @param priority the priority of the rejected request
     * @param readyAt when capacity for its urgency is expected, in nanoseconds
     * @param spacing the time by which the next return is later
     * @param now the current time, in nanoseconds
     * @return the time to wait
     */
    Duration assign(RequestPriority priority, long readyAt, Duration spacing, long now) {
        nextReturns.values().removeIf(time -> time <= now);
        int urgency = priority.urgency();
        Key key = new Key(urgency, priority.account());
        boolean first = !nextReturns.containsKey(key);
        long earliest = Math.max(readyAt, first ? nextReturnOfClass[urgency] : nextReturns.get(key));
        long returnAt = Math.min(now + LONGEST.toNanos(), Math.max(now + SHORTEST.toNanos(), earliest));
        long next = returnAt + Math.max(SMALLEST_SPACING.toNanos(), spacing.toNanos());
        nextReturns.put(key, next);
        if (first) {
            nextReturnOfClass[urgency] = next;
        }
        return Duration.ofNanos(returnAt - now);
    }
}
