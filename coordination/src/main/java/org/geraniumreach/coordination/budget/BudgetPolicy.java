package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.Objects;

/**
 * The times and choices that a budget goes by; the same at all entries.
 *
 * <p>Invariant: the quarantine exceeds the proof limit, twice the list's lag, a loan and the drift of two clocks over all of
 * it. Shorter, an entry that was cut off could still spend a share, or a loan from it, that another has taken over. Immutable
 * and safe for use by several threads.
 *
 * @param sharing what an entry gives to another one
 * @param leaseRenewal how often the lease is renewed
 * @param proofLimit how long a proof counts
 * @param listLag the greatest lag of the instance list
 * @param quarantine how long a holder must be gone before its shares are taken back
 * @param loanDuration how long a loan lasts
 * @param loanAnswerLimit how long an answer to a loan request is waited for
 * @param longestWait how long a request may wait for budget
 * @param scanInterval how often the rows of other entries are looked at
 * @param clockDriftPartsPerMillion the greatest drift of a clock
 */
public record BudgetPolicy(
        SharingPolicy sharing,
        Duration leaseRenewal,
        Duration proofLimit,
        Duration listLag,
        Duration quarantine,
        Duration loanDuration,
        Duration loanAnswerLimit,
        Duration longestWait,
        Duration scanInterval,
        int clockDriftPartsPerMillion) {

    private static final double PARTS_PER_MILLION = 1e6;

    /** Two clocks drift apart by twice the drift of one, and a little more in the second order. */
    private static final int DRIFT_MARGIN = 3;

    public BudgetPolicy {
        Objects.requireNonNull(sharing, "sharing");
        Duration least = leastQuarantine(proofLimit, listLag, loanDuration, clockDriftPartsPerMillion);
        if (quarantine.compareTo(least) <= 0) {
            throw new IllegalArgumentException("quarantine of " + quarantine + " is not above " + least
                    + ", which is proof limit, twice the list's lag, a loan and the drift of two clocks");
        }
        if (leaseRenewal.compareTo(proofLimit) >= 0) {
            throw new IllegalArgumentException(
                    "lease renewal of " + leaseRenewal + " is not below the proof limit of " + proofLimit);
        }
    }

    private static Duration leastQuarantine(Duration proofLimit, Duration listLag, Duration loan, int drift) {
        Duration sum = proofLimit.plus(listLag.multipliedBy(2)).plus(loan);
        return sum.plusNanos((long) (sum.toNanos() * DRIFT_MARGIN * (drift / PARTS_PER_MILLION)));
    }

    /**
     * Gets the duration after which a lender takes a loan back, which a slow clock of the borrower must not outlast.
     *
     * @param loan the duration of the loan, not null
     * @return the duration in nanoseconds
     */
    long lenderNanos(Duration loan) {
        return (long) Math.ceil(loan.toNanos() * (1 + DRIFT_MARGIN * clockDriftPartsPerMillion / PARTS_PER_MILLION));
    }
}
