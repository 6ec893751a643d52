package org.geraniumreach.link;

import java.util.Optional;

import org.geraniumreach.link.Attempts.SealOutcome;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Seal;
import org.geraniumreach.messages.Sealed;

/**
 * The state machine of one request to seal an attempt.
 *
 * <p>Invariant: {@link SealOutcome#NEVER_STARTED} is returned only if the incarnation that the attempt was sent to
 * answered so within the answer limit after the last request, since a companion remembers attempts for a limited time.
 * Not safe for use by several threads.
 */
final class SealTracker {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String attempt;
    private final long incarnation;
    private final long ageMillis;
    private final AttemptTracker.Limits limits;
    private final long startNanos;
    private long lastRequestNanos;

    /**
     * Creates a tracker.
     *
     * @param attempt the attempt's id, not null
     * @param incarnation the companion's incarnation that it was sent to
     * @param ageMillis the time since it was sent, in milliseconds; negative if unknown
     * @param limits the time limits, not null
     * @param now the current time
     */
    SealTracker(String attempt, long incarnation, long ageMillis, AttemptTracker.Limits limits, long now) {
        this.attempt = attempt;
        this.incarnation = incarnation;
        this.ageMillis = ageMillis;
        this.limits = limits;
        this.startNanos = now;
        this.lastRequestNanos = now;
    }

    /** The outcomes by their number in {@link Sealed#getState}. */
    private static final SealOutcome[] OUTCOMES_BY_STATE = {
        SealOutcome.NEVER_STARTED,
        SealOutcome.STARTED,
        SealOutcome.ENDED,
        SealOutcome.OTHER_INCARNATION,
        SealOutcome.OTHER_INCARNATION
    };

    /**
     * Returns the Seal frame to send over an open link.
     *
     * @param openIncarnation the companion's incarnation on the link
     * @param now the current time
     * @return the frame to send, or empty if the answer is {@link SealOutcome#OTHER_INCARNATION}
     */
    Optional<Frame> nextFrame(long openIncarnation, long now) {
        if (openIncarnation != incarnation) {
            return Optional.empty();
        }
        lastRequestNanos = now;
        long age = ageMillis < 0 ? -1 : ageMillis + (now - startNanos) / NANOS_PER_MILLI + 1;
        return Optional.of(Frame.newBuilder()
                .setSeal(Seal.newBuilder()
                        .setAttempt(attempt)
                        .setCompanionIncarnation(incarnation)
                        .setAgeMillis(age))
                .build());
    }

    /**
     * Handles the companion's answer.
     *
     * @param sealed the answer, not null
     * @param now the current time
     * @return the outcome, or empty if the answer is too old to be trusted and the request must be repeated
     */
    Optional<SealOutcome> onSealed(Sealed sealed, long now) {
        if (sealed.getState() < 0 || sealed.getState() >= OUTCOMES_BY_STATE.length) {
            return Optional.of(SealOutcome.OTHER_INCARNATION);
        }
        SealOutcome outcome = OUTCOMES_BY_STATE[sealed.getState()];
        boolean late = now - lastRequestNanos > limits.answerLimit().toNanos();
        return late && outcome == SealOutcome.NEVER_STARTED ? Optional.empty() : Optional.of(outcome);
    }

    boolean isOverdue(long now) {
        return now - startNanos > limits.resumeLimit().toNanos();
    }
}
