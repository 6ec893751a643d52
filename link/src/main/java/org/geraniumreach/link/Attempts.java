package org.geraniumreach.link;

import java.time.Duration;

import org.geraniumreach.messages.Run;
import org.geraniumreach.model.InstanceId;

/**
 * Sends attempts to companions and follows them to their end, over as many connections as it takes.
 *
 * <p>Contract: safe for use by several threads. Each attempt's listener is told of exactly one end.
 */
public interface Attempts {

    /** The age of an attempt that another process has sent. */
    Duration AGE_UNKNOWN = Duration.ofMillis(-1);

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
     * @param nextSequence the first chunk wanted; none comes before {@link AttemptHandle#request}
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
     * @param companion the companion's instance, to which a link is kept, not null
     * @param attempt the attempt's id, not null
     * @param companionIncarnation the incarnation that it was sent to
     * @param age the time since it may have been sent, at least; negative if unknown, when a companion that has begun to
     *     forget attempts answers OTHER_INCARNATION, not null
     * @param listener told of the answer once, not null
     */
    void seal(InstanceId companion, String attempt, long companionIncarnation, Duration age, SealListener listener);

    /**
     * Asks that an attempt of unknown age never start if it has not started.
     *
     * @param companion the companion's instance, to which a link is kept, not null
     * @param attempt the attempt's id, not null
     * @param companionIncarnation the incarnation that it was sent to
     * @param listener told of the answer once, not null
     */
    default void seal(InstanceId companion, String attempt, long companionIncarnation, SealListener listener) {
        seal(companion, attempt, companionIncarnation, AGE_UNKNOWN, listener);
    }

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
        /** The companion is another incarnation, or has forgotten attempts that are as old; nothing is known. */
        OTHER_INCARNATION,
        /** The companion cannot be reached. */
        UNREACHABLE
    }
}
