package org.geraniumreach.coordination.ledger;

import java.time.Duration;

/**
 * The time limits and retry limits of a {@link LedgerCall}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param patience the maximum time for which a call waits for another call with its key
 * @param pollInterval the interval between reads of the row while waiting
 * @param takeoverAge the age from which the companion of a RUNNING row is asked although the sender seems live
 * @param clockError the maximum difference between the times of day of two entries
 * @param sendLimit how long after its creation an attempt may be sent; plus the maximum transit time of a frame, it
 *     must be shorter than the time for which a companion retains a seal
 * @param sealLimit how long after the request a companion's answer that an attempt never started is trusted
 * @param storeTries the maximum number of tries of a commit or read
 * @param sendTries the maximum number of attempts of one call; each requires proof that the previous one did not run
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
