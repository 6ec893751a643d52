package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.geraniumreach.model.TargetId;

/**
 * The attempts of one request to be admitted by targets.
 *
 * <p>Invariant: after {@link #MAXIMUM_REFUSALS} refusals the request is sent without admission. Confined to the event
 * loop.
 */
final class AdmissionAttempts {

    static final int MAXIMUM_REFUSALS = 3;

    /** Fraction of the objective within which a request should be sent; the rest is for its own prompt. */
    private static final double SEND_DEADLINE_FRACTION = 0.65;

    /**
     * Fraction of the objective for which a request may always be delayed; sending late requests in a burst gains
     * nothing.
     */
    private static final double MINIMUM_DELAY_FRACTION = 0.4;

    private final Set<TargetId> saturatedTargets = new HashSet<>();
    private int refusals;

    boolean mayAttempt() {
        return refusals < MAXIMUM_REFUSALS;
    }

    Duration maximumDelay(Duration objective, Duration elapsed) {
        Duration remaining = fraction(objective, SEND_DEADLINE_FRACTION).minus(elapsed);
        Duration minimum = fraction(objective, MINIMUM_DELAY_FRACTION);
        return remaining.compareTo(minimum) < 0 ? minimum : remaining;
    }

    private static Duration fraction(Duration duration, double fraction) {
        return Duration.ofNanos((long) (duration.toNanos() * fraction));
    }

    void recordRefusal(TargetId target) {
        refusals++;
        saturatedTargets.add(target);
    }

    /** Gets the targets that refused admission because of too many pending prompts. */
    Set<TargetId> saturatedTargets() {
        return saturatedTargets;
    }
}
