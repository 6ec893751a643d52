package org.geraniumreach.daemon.companion;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.messages.End;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ServingException;

/**
 * Lets attempts start, and ends them, in the attempt table and towards the entry.
 *
 * <p>Invariants: an attempt starts only if the table lets it, so at most once and never after it was sealed; the table is
 * told of an end before the entry is. Safe for use by several threads.
 */
final class AttemptLifecycle {

    private final AttemptShards attempts;
    private final StartCheck startCheck;

    AttemptLifecycle(AttemptShards attempts, StartCheck startCheck) {
        this.attempts = attempts;
        this.startCheck = startCheck;
    }

    /**
     * Starts an attempt, if it may still run.
     *
     * @param attempt the attempt, not null
     * @return true if it is to be sent to the target now, false if it must not be, and is over
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
     * Puts an attempt back that was started, and that the target says it has not run.
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
     * @param refusal why, and whether it ran, not null
     */
    void refuse(CompanionAttempt attempt, ServingException refusal) {
        attempts.end(attempt.id(), refusal.executionStatus() != ExecutionStatus.NO);
        attempt.finish(Frames.refused(attempt.id(), refusal));
        EventCode event =
                refusal.executionStatus() == ExecutionStatus.NO ? EventCode.REQUEST_REFUSED : EventCode.REQUEST_FAILED;
        EventLog.write(event, "{} of {}: {}", attempt.id(), attempt.account(), refusal.code());
    }
}
