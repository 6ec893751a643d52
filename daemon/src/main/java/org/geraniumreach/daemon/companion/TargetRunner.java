package org.geraniumreach.daemon.companion;

import org.geraniumreach.messages.Status;

/**
 * Gives attempts to the target, in its own order and no more at once than it takes.
 *
 * <p>Contract: safe for use by several threads; no method blocks. An attempt submitted is ended once, through {@link
 * AttemptLifecycle}, unless it is withdrawn.
 */
interface TargetRunner {

    /**
     * Puts an attempt into the queue.
     *
     * @param attempt the attempt, not null
     */
    void submit(CompanionAttempt attempt);

    /**
     * Takes an attempt that was sealed out of the queue.
     *
     * @param attempt the attempt, not null
     */
    void withdraw(CompanionAttempt attempt);

    /**
     * Ends a running attempt at the target, if the target can; whoever calls has ended it towards the entry.
     *
     * @param attempt the attempt, not null
     */
    void cancel(CompanionAttempt attempt);

    /**
     * Asks the target for more of an attempt's output, now that some has been acknowledged.
     *
     * @param attempt the attempt, not null
     */
    default void onAcknowledged(CompanionAttempt attempt) {}

    /**
     * Goes on with a stream that a former companion has left running at the target.
     *
     * @param attempt the attempt, which is new in the attempt table, not null
     * @return false if the target has no such stream, and nothing was done
     */
    default boolean adopt(CompanionAttempt attempt) {
        return false;
    }

    /** Does what is due. */
    void tick();

    /**
     * Adds the target's state to a report.
     *
     * @param status the report, not null
     */
    void describe(Status.Builder status);

    /**
     * Gets the number of attempts that wait or run.
     *
     * @return the number
     */
    int unfinishedCount();
}
