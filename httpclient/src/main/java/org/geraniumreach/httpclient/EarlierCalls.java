package org.geraniumreach.httpclient;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.model.MonotonicClock;

/**
 * The calls that one connection has carried and that their responses name.
 *
 * <p>Invariant: the ids of all calls whose responses were discarded are known, and the latest calls of any kind with their times. Confined to the event loop.
 */
final class EarlierCalls {

    /** A surplus response mostly repeats the one before. */
    private static final int MAX_KNOWN_CALLS = 16;

    /** A connection that has carried more calls with discarded responses is not reused. */
    private static final int MAX_DISCARDED_IDS = 64;

    private final MonotonicClock clock;
    private final Deque<Carried> latest = new ArrayDeque<>();
    private final Set<String> discardedIds = new HashSet<>();

    private record Carried(String id, long endedAt, boolean discarded) {}

    EarlierCalls(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records a call whose response has come. */
    void add(String id, boolean discarded) {
        latest.addFirst(new Carried(id, clock.nanos(), discarded));
        if (latest.size() > MAX_KNOWN_CALLS) {
            latest.removeLast();
        }
        if (discarded) {
            discardedIds.add(id);
        }
    }

    /** Finds the latest call of an id, if it is one of the latest calls. */
    Optional<EarlierCall> find(String id) {
        return latest.stream()
                .filter(call -> call.id().equals(id))
                .findFirst()
                .map(call -> new EarlierCall(id, Duration.ofNanos(clock.nanos() - call.endedAt()), call.discarded()));
    }

    boolean hasDiscarded(String id) {
        return discardedIds.contains(id);
    }

    /** Queries whether the connection may carry further calls. */
    boolean mayCarryMore() {
        return discardedIds.size() <= MAX_DISCARDED_IDS;
    }
}
