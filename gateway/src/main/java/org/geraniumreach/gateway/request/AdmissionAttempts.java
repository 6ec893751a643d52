package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.geraniumreach.model.TargetId;

/**
 * One request's asking for its turn at targets.
 *
 * <p>Invariant: after {@link #MOST} refusals the request is sent without asking. Confined to the event loop.
 */
final class AdmissionAttempts {

    static final int MOST = 3;

    /** Part of what is left of the objective for which a request may be held back at a target. */
    private static final double DELAY_PART = 0.4;

    private static final Duration LEAST_DELAY = Duration.ofMillis(60);

    private final Set<TargetId> saturated = new HashSet<>();
    private int refusals;

    boolean mayAsk() {
        return refusals < MOST;
    }

    Duration longestDelay(Duration objective, Duration elapsed) {
        Duration part = Duration.ofNanos((long) (objective.minus(elapsed).toNanos() * DELAY_PART));
        return part.compareTo(LEAST_DELAY) < 0 ? LEAST_DELAY : part;
    }

    void refused(TargetId target) {
        refusals++;
        saturated.add(target);
    }

    /** Gets the targets that had too much to read. */
    Set<TargetId> saturated() {
        return saturated;
    }
}
