package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

import org.geraniumreach.model.TargetId;

/**
 * One request's wait for the load of its adapter: since when, and at which targets.
 *
 * <p>Invariant: the wait begins anew with each sending, so that a stream that has lost its target after seconds may wait as long as a
 * new one. Confined to the event loop.
 */
final class LoadWait {

    /** Targets that may decline; beyond them, waiting at one is better than asking on. */
    private static final int MAXIMUM_DECLINES = 2;

    private final Duration maximumWait;
    private final Duration slowLoadThreshold;
    private final Map<TargetId, Long> requestedAt = new HashMap<>();
    private final Set<TargetId> declined = new HashSet<>();
    private OptionalLong startedAt = OptionalLong.empty();

    LoadWait(Duration longest, Duration slowLoad) {
        this.maximumWait = longest;
        this.slowLoadThreshold = slowLoad;
    }

    /** Begins the wait, if it has not begun; false if it has lasted too long. */
    boolean startOrContinue(long now) {
        if (startedAt.isEmpty()) {
            startedAt = OptionalLong.of(now);
        }
        return now - startedAt.getAsLong() < maximumWait.toNanos();
    }

    void recordRequest(TargetId target, long now) {
        requestedAt.putIfAbsent(target, now);
    }

    /** Notes which of the targets that were asked have declined. */
    void recordDeclined(Predicate<TargetId> hasDeclined) {
        requestedAt.keySet().stream().filter(hasDeclined).forEach(declined::add);
    }

    boolean mayBeDeclined() {
        return declined.size() < MAXIMUM_DECLINES;
    }

    void reset() {
        startedAt = OptionalLong.empty();
    }

    /** Gets the targets that were asked and may still be in time with the load. */
    Set<TargetId> loadingTargets(long now) {
        return recordRequest(now, false);
    }

    /** Gets those that have declined, or whose owner may be unable to order; another target may load meanwhile. */
    Set<TargetId> slowLoadingTargets(long now) {
        return recordRequest(now, true);
    }

    private Set<TargetId> recordRequest(long now, boolean slow) {
        Set<TargetId> targets = new HashSet<>();
        requestedAt.forEach((target, at) -> {
            boolean isSlow = declined.contains(target) || now - at >= slowLoadThreshold.toNanos();
            if (isSlow == slow) {
                targets.add(target);
            }
        });
        return targets;
    }
}
