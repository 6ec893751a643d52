package org.geraniumreach.link;

import org.geraniumreach.messages.Run;
import org.geraniumreach.model.InstanceId;

/**
 * Sends attempts to companions and follows them to their end, over as many connections as it takes.
 *
 * <p>Contract: safe for use by several threads. Each attempt's listener is told of exactly one end.
 */
public interface Attempts {

    /**
     * Sends an attempt.
     *
     * @param companion the companion's instance, to which a link is kept, not null
     * @param run the attempt, not null
     * @param listener told of its progress, not null
     * @return the handle, not null
     */
    AttemptHandle run(InstanceId companion, Run run, AttemptListener listener);

    /**
     * Goes on with an attempt that this process, or another one, sent earlier.
     *
     * @param companion the companion's instance, not null
     * @param attempt the attempt's id, not null
     * @param companionIncarnation the incarnation that it was sent to
     * @param nextSequence the first chunk wanted
     * @param listener told of its progress, not null
     * @return the handle, not null
     */
    AttemptHandle resume(
            InstanceId companion,
            String attempt,
            long companionIncarnation,
            long nextSequence,
            AttemptListener listener);

    /**
     * Asks that an attempt never start if it has not started.
     *
     * @param companion the companion's instance, not null
     * @param attempt the attempt's id, not null
     * @param companionIncarnation the incarnation that it was sent to
     * @param listener told of the answer once, not null
     */
    void seal(InstanceId companion, String attempt, long companionIncarnation, SealListener listener);

    /** Is told of the answer to a seal. */
    @FunctionalInterface
    interface SealListener {

        /**
         * Tells of the answer.
         *
         * @param outcome what the companion says, not null
         */
        void sealed(SealOutcome outcome);
    }

    /** What is known of a sealed attempt. */
    enum SealOutcome {
        /** It has not started and never will. */
        NEVER_STARTED,
        /** It is running; resume it. */
        STARTED,
        /** It has ended; resume it to get its answer. */
        ENDED,
        /** The companion is another incarnation; nothing is known. */
        OTHER_INCARNATION,
        /** The companion cannot be reached. */
        UNREACHABLE
    }
}
