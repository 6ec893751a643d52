package org.geraniumreach.daemon.companion;

import java.time.Duration;

import org.geraniumreach.daemon.settings.Setting;

/**
 * Settings of a companion.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param queue the queue of requests
 * @param loads the loading of adapters
 * @param bufferedChunks how many chunks of one answer are retained
 * @param attemptRetention how long an attempt that is over is remembered
 * @param retainedAttempts how many attempts are remembered at most
 * @param orphanLimit how long an attempt continues without a link to its entry
 * @param statusInterval the longest time between two status reports to an entry
 * @param engineCheckAge how old the known state of the engine may be when a request is sent
 * @param orderLimit how long an order to the target stays valid
 * @param fenceCheckInterval the interval between two reads of the fencing token
 * @param adoptionLimit how long entries may claim streams that a previous companion started
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

    private static final int MIN_BUFFERED_CHUNKS = 64;
    private static final int DEFAULT_RETAINED_ATTEMPTS = 50_000;

    public CompanionSettings {
        // Entries acknowledge every 32 chunks. With a smaller buffer the companion would wait for an acknowledgement
        // that the entry sends only after further chunks.
        if (bufferedChunks < MIN_BUFFERED_CHUNKS) {
            throw new IllegalArgumentException("bufferedChunks below " + MIN_BUFFERED_CHUNKS + ": " + bufferedChunks);
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
                MIN_BUFFERED_CHUNKS,
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
