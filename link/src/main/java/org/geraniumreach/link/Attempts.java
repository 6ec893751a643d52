package org.geraniumreach.link;

import java.time.Duration;

import org.geraniumreach.messages.Run;
import org.geraniumreach.model.InstanceId;

/**
 * Sends attempts to companions and tracks them to their end across reconnections.
 *
 * <p>Contract: safe for use by several threads. Each attempt's listener receives exactly one end.
 */
public interface Attempts {

    /** The age of an attempt whose send time is unknown, such as one that another process has sent. */
    Duration AGE_UNKNOWN = Duration.ofMillis(-1);

    /**
     * Sends an attempt.
     *
     * @param companion the companion's instance, to which a link is kept open, not null
     * @param run the attempt, not null
     * @param listener receives its progress, not null
     * @return the handle, not null
     */
    AttemptHandle run(InstanceId companion, Run run, AttemptListener listener);

    /**
     * Resumes an attempt that this or another process sent earlier.
     *
     * @param companion the companion's instance, not null
     * @param attempt the attempt's id, not null
     * @param companionIncarnation the companion's incarnation that the attempt was sent to
     * @param nextSequence the sequence number of the first chunk to receive; none is sent before {@link
     *     AttemptHandle#request}
     * @param listener receives its progress, not null
     * @return the handle, not null
     */
    AttemptHandle resume(
            InstanceId companion,
            String attempt,
            long companionIncarnation,
            long nextSequence,
            AttemptListener listener);

    /**
     * Seals an attempt: if it has not started, the companion never starts it.
     *
     * @param companion the companion's instance, to which a link is kept open, not null
     * @param attempt the attempt's id, not null
     * @param companionIncarnation the companion's incarnation that the attempt was sent to
     * @param age the minimum time since it may have been sent; negative if unknown, in which case a companion that has
     *     already discarded attempts answers OTHER_INCARNATION, not null
     * @param listener receives the answer, once, not null
     */
    void seal(InstanceId companion, String attempt, long companionIncarnation, Duration age, SealListener listener);

    /**
     * Seals an attempt of unknown age: if it has not started, the companion never starts it.
     *
     * @param companion the companion's instance, to which a link is kept open, not null
     * @param attempt the attempt's id, not null
     * @param companionIncarnation the companion's incarnation that the attempt was sent to
     * @param listener receives the answer, once, not null
     */
    default void seal(InstanceId companion, String attempt, long companionIncarnation, SealListener listener) {
        seal(companion, attempt, companionIncarnation, AGE_UNKNOWN, listener);
    }

    /** Receives the answer to a seal request. */
    @FunctionalInterface
    interface SealListener {

        /**
         * Called when the outcome is known.
         *
         * @param outcome the outcome, not null
         */
        void onSealed(SealOutcome outcome);
    }

    /** The outcome of a seal request. */
    enum SealOutcome {
        /** It has not started and never will. */
        NEVER_STARTED,
        /** It is running; resume it. */
        STARTED,
        /** It has ended; resume it to get its answer. */
        ENDED,
        /**
         * The companion is another incarnation, or has discarded attempts of that age; whether the attempt ran is
         * unknown.
         */
        OTHER_INCARNATION,
        /** The companion could not be reached within the resume limit. */
        UNREACHABLE
    }
}
