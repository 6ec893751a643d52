package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.geraniumreach.model.TargetId;

/**
 * One request's asking for its turn at targets.
 *
 * <p>Invariant: after {@link #MAXIMUM_REFUSALS} refusals the request is sent without asking. Confined to the event loop.
 */
final class AdmissionAttempts {

    static final int MAXIMUM_REFUSALS = 3;

    /** Part of the objective by which a request is to be sent; the rest is for its own prompt. */
    private static final double SEND_DEADLINE_FRACTION = 0.65;

    /** Part of the objective for which a request may be held back in any case: one that is late already gains nothing by a clump. */
    private static final double MINIMUM_DELAY_FRACTION = 0.4;

    private final Set<TargetId> saturatedTargets = new HashSet<>();
    private int refusals;

    boolean mayAttempt() {
        return refusals < MAXIMUM_REFUSALS;
    }

    Duration maximumDelay(Duration objective, Duration elapsed) {
        Duration left = fraction(objective, SEND_DEADLINE_FRACTION).minus(elapsed);
        Duration least = fraction(objective, MINIMUM_DELAY_FRACTION);
        return left.compareTo(least) < 0 ? least : left;
    }

    private static Duration fraction(Duration duration, double part) {
        return Duration.ofNanos((long) (duration.toNanos() * part));
    }

    void recordRefusal(TargetId target) {
        refusals++;
        saturatedTargets.add(target);
    }

    /** Gets the targets that had too much to read. */
    Set<TargetId> saturatedTargets() {
        return saturatedTargets;
    }
}
