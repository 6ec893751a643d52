package org.geraniumreach.link;

import java.util.Optional;

import org.geraniumreach.link.Attempts.SealOutcome;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Seal;
import org.geraniumreach.messages.Sealed;

/**
 * Decides what becomes of one request to seal an attempt.
 *
 * <p>Invariant: {@link SealOutcome#NEVER_STARTED} is given only if the incarnation that the attempt was sent to said so
 * within the limit since it was last asked, as it keeps what it knows for a limited time. Not safe for use by several
 * threads.
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
     * Makes a tracker.
     *
     * @param attempt the attempt's id, not null
     * @param incarnation the companion's incarnation that it was sent to
     * @param ageMillis the time since then, negative if unknown
     * @param limits the limits, not null
     * @param now the time
     */
    SealTracker(String attempt, long incarnation, long ageMillis, AttemptTracker.Limits limits, long now) {
        this.attempt = attempt;
        this.incarnation = incarnation;
        this.ageMillis = ageMillis;
        this.limits = limits;
        this.startNanos = now;
        this.lastRequestNanos = now;
    }

    /** What companions say of a sealed attempt, by its number in the message. */
    private static final SealOutcome[] OUTCOMES_BY_STATE = {
        SealOutcome.NEVER_STARTED,
        SealOutcome.STARTED,
        SealOutcome.ENDED,
        SealOutcome.OTHER_INCARNATION,
        SealOutcome.OTHER_INCARNATION
    };

    /**
     * Decides what to ask over a link that is open.
     *
     * @param openIncarnation the incarnation at its other end
     * @param now the time
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
     * Takes the companion's answer.
     *
     * @param sealed the answer, not null
     * @param now the time
     * @return the outcome, or empty if the answer is not to be believed and the companion is to be asked again
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
