package org.geraniumreach.daemon.companion;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.messages.End;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ServingException;

/**
 * Starts and ends attempts, in the attempt table and towards the entry.
 *
 * <p>Invariants: an attempt starts only if the table permits it, so at most once and never after it was sealed; an end
 * is recorded in the table before it is sent to the entry. Safe for use by several threads.
 */
final class AttemptLifecycle {

    private final AttemptShards attempts;
    private final StartCheck startCheck;

    AttemptLifecycle(AttemptShards attempts, StartCheck startCheck) {
        this.attempts = attempts;
        this.startCheck = startCheck;
    }

    /**
     * Starts an attempt if the configuration and the attempt table permit it. If the configuration does not, the
     * attempt is refused.
     *
     * @param attempt the attempt, not null
     * @return true if it is to be sent to the target; false if it must not be sent and is over
     */
    boolean start(CompanionAttempt attempt) {
        try {
            startCheck.check(attempt.runWithoutBody());
        } catch (ServingException refusal) {
            refuse(attempt, refusal);
            return false;
        }
        return attempts.start(attempt.id());
    }

    /**
     * Returns a started attempt to the waiting state, after the target has reported that it did not run it.
     *
     * @param attempt the attempt, not null
     */
    void requeue(CompanionAttempt attempt) {
        attempts.requeue(attempt.id());
    }

    void end(CompanionAttempt attempt, End end) {
        attempts.end(attempt.id(), true);
        attempt.open();
        attempt.finish(Frames.end(end));
    }

    /**
     * Ends an attempt with a refusal.
     *
     * @param attempt the attempt, not null
     * @param refusal the reason and the execution status, not null
     */
    void refuse(CompanionAttempt attempt, ServingException refusal) {
        attempts.end(attempt.id(), refusal.executionStatus() != ExecutionStatus.NO);
        attempt.finish(Frames.refused(attempt.id(), refusal));
        EventCode event =
                refusal.executionStatus() == ExecutionStatus.NO ? EventCode.REQUEST_REFUSED : EventCode.REQUEST_FAILED;
        EventLog.write(event, "{} of {}: {}", attempt.id(), attempt.account(), refusal.code());
    }
}
