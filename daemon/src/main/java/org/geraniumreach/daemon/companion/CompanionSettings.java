package org.geraniumreach.daemon.companion;

import java.time.Duration;

import org.geraniumreach.daemon.settings.Setting;

/**
 * Settings of a companion.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param queue the order of requests
 * @param loads the loading of adapters
 * @param bufferedChunks the chunks of one answer that are kept
 * @param attemptRetention how long it is known that an attempt was seen
 * @param retainedAttempts how many attempts are known at most
 * @param orphanLimit how long work goes on without a link to its entry
 * @param statusInterval the longest time between two reports to an entry
 * @param engineCheckAge how old a look at the engine may be when a request is sent
 * @param orderLimit how long an order stays valid
 * @param fenceCheckInterval how often the fence is read again
 * @param adoptionLimit how long streams left by a former companion may be asked for
 */
public record CompanionSettings(
        QueueSettings queue,
        LoadSettings loads,
        @Setting(
                        value = "64",
                        least = "64",
                        greatest = "65536",
                        about = "How many chunks of one answer are kept; entries acknowledge every 32.")
                int bufferedChunks,
        @Setting(
                        value = "2m",
                        least = "1m",
                        greatest = "1h",
                        about =
                                "How long it is known that an attempt was seen; after it, 'not run' is never said of it.")
                Duration attemptRetention,
        @Setting(
                        value = "50000",
                        least = "100",
                        greatest = "10000000",
                        about =
                                "How many attempts are known at most; beyond it the oldest ended ones are forgotten early.")
                int retainedAttempts,
        @Setting(
                        value = "15s",
                        least = "1s",
                        greatest = "10m",
                        about = "How long work goes on, and its output is kept, without a link to its entry.")
                Duration orphanLimit,
        @Setting(
                        value = "1s",
                        least = "50ms",
                        greatest = "1m",
                        about = "The longest time between two reports to an entry.")
                Duration statusInterval,
        @Setting(
                        value = "100ms",
                        least = "0ms",
                        greatest = "10s",
                        about =
                                "How old a look at the engine may be when a request is sent; below the time of a restart.")
                Duration engineCheckAge,
        @Setting(
                        value = "2s",
                        least = "100ms",
                        greatest = "1m",
                        about = "How long an order stays valid; at a target that does not check fences, a new companion"
                                + " waits for so long before its first.")
                Duration orderLimit,
        @Setting(value = "1s", least = "100ms", greatest = "1m", about = "How often the fence is read again.")
                Duration fenceCheckInterval,
        @Setting(
                        value = "10s",
                        least = "0ms",
                        greatest = "10m",
                        about =
                                "How long streams that a former companion left may be asked for before they are cancelled.")
                Duration adoptionLimit) {

    private static final int LEAST_BUFFERED_CHUNKS = 64;
    private static final int DEFAULT_RETAINED_ATTEMPTS = 50_000;

    public CompanionSettings {
        // With fewer, the companion would wait for an acknowledgement that its entry sends only after more chunks.
        if (bufferedChunks < LEAST_BUFFERED_CHUNKS) {
            throw new IllegalArgumentException("bufferedChunks below " + LEAST_BUFFERED_CHUNKS + ": " + bufferedChunks);
        }
    }

    /**
     * Obtains the defaults.
     *
     * @return the settings, not null
     */
    public static CompanionSettings defaults() {
        return new CompanionSettings(
                QueueSettings.defaults(),
                LoadSettings.defaults(),
                LEAST_BUFFERED_CHUNKS,
                Duration.ofMinutes(2),
                DEFAULT_RETAINED_ATTEMPTS,
                Duration.ofSeconds(15),
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofSeconds(10));
    }
}
