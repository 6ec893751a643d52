package org.geraniumreach.coordination.ledger;

import java.time.Duration;

/**
 * The times and numbers that a {@link LedgerCall} goes by.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param patience how long a call waits for another one with its key
 * @param pollInterval how long it waits between two readings
 * @param takeoverAge the age from which a running row's companion is asked though the sender seems live
 * @param clockError how far the times of day of two entries may be apart
 * @param sendLimit how long after an attempt was put into the row it may be sent; with the longest time a frame is on
 *     its way it is below the time for which a companion remembers a seal
 * @param sealLimit how long after it was asked a companion is believed that an attempt never started
 * @param storeTries how often a commit or reading is tried
 * @param sendTries how many attempts one call may make, each after the one before was shown not to have run
 */
public record LedgerPolicy(
        Duration patience,
        Duration pollInterval,
        Duration takeoverAge,
        Duration clockError,
        Duration sendLimit,
        Duration sealLimit,
        int storeTries,
        int sendTries) {}
