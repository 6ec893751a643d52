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
 * Tracks how long one request has waited for its adapter to be loaded, and at which targets.
 *
 * <p>Invariant: the wait restarts after each send, so that a stream that loses its target after seconds may wait as
 * long as a new one. Confined to the event loop.
 */
final class LoadWait {

    /** Number of targets that may decline; after that, waiting at one target is better than asking others. */
    private static final int MAXIMUM_DECLINES = 2;

    private final Duration maximumWait;
    private final Duration slowLoadThreshold;
    private final Map<TargetId, Long> requestedAt = new HashMap<>();
    private final Set<TargetId> declined = new HashSet<>();
    private OptionalLong startedAt = OptionalLong.empty();

    LoadWait(Duration maximumWait, Duration slowLoadThreshold) {
        this.maximumWait = maximumWait;
        this.slowLoadThreshold = slowLoadThreshold;
    }

    /** Starts the wait if it has not started; returns false if it has exceeded the maximum. */
    boolean startOrContinue(long now) {
        if (startedAt.isEmpty()) {
            startedAt = OptionalLong.of(now);
        }
        return now - startedAt.getAsLong() < maximumWait.toNanos();
    }

    void recordRequest(TargetId target, long now) {
        requestedAt.putIfAbsent(target, now);
    }

    /** Records which of the requested targets have declined. */
    void recordDeclined(Predicate<TargetId> hasDeclined) {
        requestedAt.keySet().stream().filter(hasDeclined).forEach(declined::add);
    }

    boolean mayBeDeclined() {
        return declined.size() < MAXIMUM_DECLINES;
    }

    void reset() {
        startedAt = OptionalLong.empty();
    }

    /** Forgets also at which targets the load was requested; a later placement may find them otherwise. */
    void forget() {
        reset();
        requestedAt.clear();
        declined.clear();
    }

    /** Gets the requested targets that may still complete the load in time. */
    Set<TargetId> loadingTargets(long now) {
        return requestedTargets(now, false);
    }

    /**
     * Gets the targets that declined or are slow, perhaps because their owner cannot order; another may load
     * meanwhile.
     */
    Set<TargetId> slowLoadingTargets(long now) {
        return requestedTargets(now, true);
    }

    private Set<TargetId> requestedTargets(long now, boolean slow) {
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
