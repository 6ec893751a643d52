package org.geraniumreach.link;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of links and of the attempts sent over them.
 *
 * <p>Invariant: every component is positive, the least backoff is not above the greatest, and the low water mark of the
 * write buffer is below the high one. Immutable and safe for use by several threads.
 *
 * @param connectLimit the time limit for opening a connection
 * @param helloLimit the time limit for receiving the peer's Hello
 * @param pingInterval the time between two pings
 * @param unansweredPings the number of unanswered pings after which a link is closed
 * @param leastBackoff the upper bound of the delay before the first reconnection
 * @param greatestBackoff the upper bound of the delay before any reconnection
 * @param maximumFrameBytes the maximum length of a frame in bytes, in both directions
 * @param writeBufferLow the number of buffered outbound bytes below which a link becomes writable again
 * @param writeBufferHigh the number of buffered outbound bytes above which a link is not writable
 * @param threads the number of event loops
 * @param resumeLimit how long an attempt without a link waits for a new one to its companion
 * @param answerLimit the maximum delay after which a "not run" answer is still trusted
 * @param deadlineGrace how long after an attempt's deadline an answer is still accepted
 */
public record LinkSettings(
        Duration connectLimit,
        Duration helloLimit,
        Duration pingInterval,
        int unansweredPings,
        Duration leastBackoff,
        Duration greatestBackoff,
        int maximumFrameBytes,
        int writeBufferLow,
        int writeBufferHigh,
        int threads,
        Duration resumeLimit,
        Duration answerLimit,
        Duration deadlineGrace) {

    private static final int KIBIBYTE = 1024;

    public LinkSettings {
        requirePositive("connectLimit", connectLimit);
        requirePositive("helloLimit", helloLimit);
        requirePositive("pingInterval", pingInterval);
        requirePositive("unansweredPings", unansweredPings);
        requirePositive("leastBackoff", leastBackoff);
        requirePositive("greatestBackoff", greatestBackoff);
        requirePositive("maximumFrameBytes", maximumFrameBytes);
        requirePositive("writeBufferLow", writeBufferLow);
        requirePositive("writeBufferHigh", writeBufferHigh);
        requirePositive("threads", threads);
        requirePositive("resumeLimit", resumeLimit);
        requirePositive("answerLimit", answerLimit);
        requirePositive("deadlineGrace", deadlineGrace);
        if (leastBackoff.compareTo(greatestBackoff) > 0) {
            throw new IllegalArgumentException(
                    "leastBackoff " + leastBackoff + " above greatestBackoff " + greatestBackoff);
        }
        if (writeBufferLow >= writeBufferHigh) {
            throw new IllegalArgumentException(
                    "writeBufferLow " + writeBufferLow + " not below writeBufferHigh " + writeBufferHigh);
        }
    }

    /**
     * Returns the default settings.
     *
     * @return the settings, not null
     */
    public static LinkSettings defaults() {
        return new LinkSettings(
                Duration.ofSeconds(1),
                Duration.ofSeconds(3),
                Duration.ofMillis(500),
                3,
                Duration.ofMillis(50),
                Duration.ofSeconds(2),
                4 * KIBIBYTE * KIBIBYTE,
                64 * KIBIBYTE,
                256 * KIBIBYTE,
                2,
                Duration.ofSeconds(10),
                Duration.ofSeconds(10),
                Duration.ofSeconds(2));
    }

    /**
     * Returns a copy with different ping settings.
     *
     * @param interval the time between two pings, not null
     * @param unanswered the number of unanswered pings after which a link is closed
     * @return the settings, not null
     */
    public LinkSettings withPings(Duration interval, int unanswered) {
        return new LinkSettings(
                connectLimit,
                helloLimit,
                interval,
                unanswered,
                leastBackoff,
                greatestBackoff,
                maximumFrameBytes,
                writeBufferLow,
                writeBufferHigh,
                threads,
                resumeLimit,
                answerLimit,
                deadlineGrace);
    }

    /**
     * Returns a copy with a different maximum back-off.
     *
     * @param backoff the upper bound of the delay before any reconnection, not null
     * @return the settings, not null
     */
    public LinkSettings withGreatestBackoff(Duration backoff) {
        return new LinkSettings(
                connectLimit,
                helloLimit,
                pingInterval,
                unansweredPings,
                leastBackoff,
                backoff,
                maximumFrameBytes,
                writeBufferLow,
                writeBufferHigh,
                threads,
                resumeLimit,
                answerLimit,
                deadlineGrace);
    }

    private static void requirePositive(String name, Duration value) {
        Objects.requireNonNull(value, name);
        if (value.isZero() || value.isNegative()) {
            throw new IllegalArgumentException(name + " not above zero: " + value);
        }
    }

    private static void requirePositive(String name, int value) {
        if (value < 1) {
            throw new IllegalArgumentException(name + " not above zero: " + value);
        }
    }
}
