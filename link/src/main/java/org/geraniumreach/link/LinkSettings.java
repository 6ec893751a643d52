package org.geraniumreach.link;

import java.time.Duration;
import java.util.Objects;

/**
 * How links and attempts behave.
 *
 * <p>Invariant: every component is positive, the least backoff is not above the greatest, and the lower mark of the write
 * buffer is below the higher one. Immutable and safe for use by several threads.
 *
 * @param connectLimit how long a connection may take to open
 * @param helloLimit how long the other end may take to say Hello
 * @param pingInterval the time between two pings
 * @param unansweredPings the number of pings without an answer after which a link is given up
 * @param leastBackoff the greatest wait before the first new connection
 * @param greatestBackoff the greatest wait before any new connection
 * @param maximumFrameBytes the greatest length of a frame, in both directions
 * @param writeBufferLow the bytes waiting to be sent below which a link is writable again
 * @param writeBufferHigh the bytes waiting to be sent above which a link is not writable
 * @param threads the number of event loops
 * @param resumeLimit how long an attempt waits for a new link to its companion
 * @param answerLimit how long an answer that says "not run" may take to be believed
 * @param deadlineGrace how long after an attempt's deadline its companion may still answer
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
     * Obtains the defaults.
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
     * Returns settings with other heartbeats.
     *
     * @param interval the time between two pings, not null
     * @param unanswered the number of pings without an answer after which a link is given up
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
     * Returns settings with another greatest backoff.
     *
     * @param backoff the greatest wait before any new connection, not null
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
