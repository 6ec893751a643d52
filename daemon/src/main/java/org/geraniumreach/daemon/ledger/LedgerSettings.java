package org.geraniumreach.daemon.ledger;

import java.time.Duration;

import org.geraniumreach.daemon.settings.DataSize;
import org.geraniumreach.daemon.settings.Setting;

/**
 * Settings of the ledger, which runs each request at most once.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param retention how long a row is kept
 * @param patience how long a repeated call waits for the answer of the first
 * @param pollInterval the interval at which a waiting call reads the row
 * @param takeoverAge the age at which a running row is taken over even if its sender is still listed
 * @param clockError the maximum difference between the wall clocks of two entries
 * @param sendLimit how long after its row was written an attempt may still be sent
 * @param sealLimit how long after the question a companion's answer that an attempt never started is accepted
 * @param groupSize the maximum number of rows in one transaction
 * @param groupWait how long a row waits for others to share its transaction
 * @param largestInline the largest answer stored in its row; larger ones go to the object store
 * @param largestAnswer the largest answer that is stored at all
 * @param sweepInterval the interval between reads of the sweep
 * @param sweepRows the number of rows per read of the sweep
 */
public record LedgerSettings(
        @Setting(value = "24h", least = "1m", about = "How long a row is kept, and a key is recognised.")
                Duration retention,
        @Setting(value = "2s", least = "0ms", about = "How long a second call waits for the first one's answer.")
                Duration patience,
        @Setting(value = "100ms", least = "10ms", about = "How often a waiting call reads the row.")
                Duration pollInterval,
        @Setting(value = "60s", least = "1s", about = "How long a row may be running before others ask its companion.")
                Duration takeoverAge,
        @Setting(value = "10s", least = "0ms", about = "How far the times of day of two entries may be apart.")
                Duration clockError,
        @Setting(value = "10s", least = "1s", about = "How long after its row was written an attempt may be sent.")
                Duration sendLimit,
        @Setting(
                        value = "10s",
                        least = "1s",
                        about = "How long after it was asked a companion is believed that an attempt never started.")
                Duration sealLimit,
        @Setting(value = "64", least = "1", greatest = "500", about = "How many rows go into one transaction.")
                int groupSize,
        @Setting(value = "4ms", least = "0ms", about = "How long a row waits for others to share its transaction.")
                Duration groupWait,
        @Setting(value = "16KiB", about = "The largest answer kept in its row; larger ones go to the object store.")
                DataSize largestInline,
        @Setting(value = "8MiB", about = "The largest answer that is kept at all.") DataSize largestAnswer,
        @Setting(value = "1s", least = "10ms", about = "How often the sweep reads rows.") Duration sweepInterval,
        @Setting(value = "200", least = "1", greatest = "1000", about = "How many rows the sweep reads at a time.")
                int sweepRows) {}
