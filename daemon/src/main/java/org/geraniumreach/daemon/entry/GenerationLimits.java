package org.geraniumreach.daemon.entry;

import java.time.Duration;

import org.geraniumreach.daemon.settings.Setting;

/**
 * Limits of one generation request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maximumTokens the most tokens that a request may ask to generate
 * @param defaultTokens the most tokens to generate if the request gives no limit
 * @param deadline the time limit of a request, with all retries
 * @param bytesPerToken the assumed minimum number of prompt bytes per token
 * @param keepAlive the silence on a stream after which a keep-alive comment is sent
 */
public record GenerationLimits(
        @Setting(
                        value = "4096",
                        least = "1",
                        greatest = "1000000",
                        about = "The most tokens that a request may ask for.")
                int maximumTokens,
        @Setting(
                        value = "256",
                        least = "1",
                        greatest = "1000000",
                        about = "The most tokens of a request that names none.")
                int defaultTokens,
        @Setting(value = "60s", least = "100ms", greatest = "1h", about = "How long a request may take in all.")
                Duration deadline,
        @Setting(
                        value = "1",
                        least = "1",
                        greatest = "8",
                        about = "The least bytes that a token of a prompt stands for; a greater number sets less budget"
                                + " aside, and too great a one lets an account above its rate.")
                int bytesPerToken,
        @Setting(value = "10s", least = "1s", greatest = "5m", about = "How often a silent stream gets a comment.")
                Duration keepAlive) {}
