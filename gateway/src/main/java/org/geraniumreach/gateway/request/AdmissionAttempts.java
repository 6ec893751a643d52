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

    /** Part of the objective by which a request is to be sent; the rest is for its own prompt. */
    private static final double SENT_BY_PART = 0.65;

    /** Part of the objective for which a request may be held back in any case: one that is late already gains nothing by a clump. */
    private static final double LEAST_DELAY_PART = 0.4;

    private final Set<TargetId> saturated = new HashSet<>();
    private int refusals;

    boolean mayAsk() {
        return refusals < MOST;
    }

    Duration longestDelay(Duration objective, Duration elapsed) {
        Duration left = part(objective, SENT_BY_PART).minus(elapsed);
        Duration least = part(objective, LEAST_DELAY_PART);
        return left.compareTo(least) < 0 ? least : left;
    }

    private static Duration part(Duration duration, double part) {
        return Duration.ofNanos((long) (duration.toNanos() * part));
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
