package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.gateway.pacing.TargetAdmission.Rejection;
import org.geraniumreach.model.TargetId;

/**
 * The attempts of one request to be admitted by targets.
 *
 * <p>Invariant: after {@link #MAXIMUM_REFUSALS} refusals the request is sent without admission, unless a target's owner
 * that orders requests has rejected it. Confined to the event loop.
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
    private final Map<TargetId, Rejection> rejections = new HashMap<>();
    private Optional<Rejection> lastRejection = Optional.empty();
    private int refusals;
    private boolean hasWaitedLast;

    /** Forgets all refusals, which say nothing about a later placement. */
    void forget() {
        saturatedTargets.clear();
        rejections.clear();
        lastRejection = Optional.empty();
        refusals = 0;
        hasWaitedLast = false;
    }

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

    /** Records a refusal, with what the target's owner has said if it orders requests. */
    void recordRefusal(TargetId target, Optional<Rejection> rejection) {
        recordRefusal(target);
        rejection.ifPresent(known -> {
            rejections.put(target, known);
            lastRejection = rejection;
        });
    }

    boolean isRejected() {
        return lastRejection.isPresent();
    }

    boolean hasBeenRejectedBy(TargetId target) {
        return rejections.containsKey(target);
    }

    Optional<Rejection> lastRejection() {
        return lastRejection;
    }

    /** Gets the shortest of the times after which the owners expect capacity. */
    Duration shortestRetryAfter() {
        return rejections.values().stream()
                .map(Rejection::retryAfter)
                .min(Duration::compareTo)
                .orElse(Refusal.DEFAULT_RETRY_AFTER);
    }

    /** Queries whether the request may wait at a target that has rejected it, once, since less urgent requests wait there. */
    boolean mayWaitAt(TargetId target) {
        return !hasWaitedLast
                && Optional.ofNullable(rejections.get(target))
                        .filter(Rejection::lessUrgentWait)
                        .isPresent();
    }

    void recordLastWait() {
        hasWaitedLast = true;
    }

    /** Gets the targets that refused admission because of too many pending prompts. */
    Set<TargetId> saturatedTargets() {
        return saturatedTargets;
    }
}
