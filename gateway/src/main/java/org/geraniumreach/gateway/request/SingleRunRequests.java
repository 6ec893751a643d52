package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.MonotonicClock;

/**
 * The requests that may run once only and that have come to this entry of late.
 *
 * <p>Intended for callers that send a request again under the same id, which names the same run.
 *
 * <p>Invariants: a request is known from its beginning until the time of its first arrival is up, unless it has ended without a run. No more
 * than {@link #MAXIMUM} requests are known; beyond that the oldest ones are forgotten. Confined to the event loop.
 */
final class SingleRunRequests {

    /** Several times what an entry receives within the longest timeout of a route. */
    static final int MAXIMUM = 50_000;

    private final MonotonicClock clock;
    private final Map<Key, Long> expiries = new LinkedHashMap<>();

    private record Key(Optional<AccountId> account, String id) {}

    SingleRunRequests(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Records the beginning of a request.
     *
     * @param account the client account, empty if it came without a key
     * @param id the id of the request
     * @param limit the time after which its caller does not wait any more
     * @return false if the request has come before and may run or have run
     */
    boolean tryBegin(Optional<AccountId> account, String id, Duration limit) {
        long now = clock.nanos();
        removeOldest(now);
        Key key = new Key(account, id);
        Long known = expiries.get(key);
        if (known != null && now < known) {
            return false;
        }
        expiries.remove(key);
        expiries.put(key, now + limit.toNanos());
        return true;
    }

    /** Records that a request has ended without a run, so that it may come again. */
    void onEndedWithoutRun(Optional<AccountId> account, String id) {
        expiries.remove(new Key(account, id));
    }

    private void removeOldest(long now) {
        Iterator<Long> oldestFirst = expiries.values().iterator();
        while (oldestFirst.hasNext() && (oldestFirst.next() <= now || expiries.size() >= MAXIMUM)) {
            oldestFirst.remove();
        }
    }

    int size() {
        return expiries.size();
    }
}
