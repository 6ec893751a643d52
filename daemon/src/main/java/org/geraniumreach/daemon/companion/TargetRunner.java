package org.geraniumreach.daemon.companion;

import org.geraniumreach.messages.Status;

/**
 * Queues attempts and runs them at the target, up to its concurrency limit.
 *
 * <p>Contract: safe for use by several threads; no method blocks. Each submitted attempt is ended once, through
 * {@link AttemptLifecycle}, unless it is withdrawn.
 */
interface TargetRunner {

    /**
     * Adds an attempt to the queue.
     *
     * @param attempt the attempt, not null
     */
    void submit(CompanionAttempt attempt);

    /**
     * Removes a sealed attempt from the queue.
     *
     * @param attempt the attempt, not null
     */
    void withdraw(CompanionAttempt attempt);

    /**
     * Stops a running attempt at the target if the target supports that. The caller has already ended it towards the
     * entry.
     *
     * @param attempt the attempt, not null
     */
    void cancel(CompanionAttempt attempt);

    /**
     * Requests further output of an attempt from the target, after some of it was acknowledged.
     *
     * @param attempt the attempt, not null
     */
    default void onAcknowledged(CompanionAttempt attempt) {}

    /**
     * Continues a stream that a previous companion started and that still runs at the target.
     *
     * @param attempt the attempt, just added to the attempt table, not null
     * @return false if the target has no such stream; nothing was changed
     */
    default boolean adopt(CompanionAttempt attempt) {
        return false;
    }

    /** Performs periodic work. */
    void tick();

    /**
     * Adds the state of the target and of the queue to a report.
     *
     * @param status the report to complete, not null
     */
    void describe(Status.Builder status);

    /**
     * Gets the number of attempts that wait or run.
     *
     * @return the number
     */
    int unfinishedCount();
}
