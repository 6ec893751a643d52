package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.Objects;

/**
 * The time limits and the sharing policy of budgets; the same at all entries.
 *
 * <p>Invariant: the quarantine exceeds the sum of the proof limit, twice the lag of the instance list and the loan
 * duration, plus the drift of two clocks over that sum. With a shorter quarantine an entry that was cut off could still
 * spend a share, or a loan from it, that another entry has taken over. Immutable and safe for use by several threads.
 *
 * @param sharing decides what an entry gives to another one that asks for a loan
 * @param leaseRenewal the interval between renewals of the lease
 * @param proofLimit how long shares may be spent after a commit on the row or a listing of the entry
 * @param listLag the maximum lag of the instance list
 * @param quarantine how long a holder must be absent before its shares are taken over
 * @param loanDuration the duration of a loan
 * @param loanAnswerLimit how long a loan request goes unanswered before the next entry is asked
 * @param longestWait the maximum time for which a request waits for budget
 * @param scanInterval the interval between scans of the rows in the table service
 * @param clockDriftPartsPerMillion the maximum drift of a clock
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

    /** Two clocks drift apart by twice the drift of one, plus a second-order term. */
    private static final int DRIFT_MARGIN = 3;

    public BudgetPolicy {
        Objects.requireNonNull(sharing, "sharing");
        Duration minimum = minimumQuarantine(proofLimit, listLag, loanDuration, clockDriftPartsPerMillion);
        if (quarantine.compareTo(minimum) <= 0) {
            throw new IllegalArgumentException("quarantine of " + quarantine + " is not above " + minimum
                    + ", which is proof limit, twice the list's lag, a loan and the drift of two clocks");
        }
        if (leaseRenewal.compareTo(proofLimit) >= 0) {
            throw new IllegalArgumentException(
                    "lease renewal of " + leaseRenewal + " is not below the proof limit of " + proofLimit);
        }
    }

    private static Duration minimumQuarantine(Duration proofLimit, Duration listLag, Duration loan, int drift) {
        Duration sum = proofLimit.plus(listLag.multipliedBy(2)).plus(loan);
        return sum.plusNanos((long) (sum.toNanos() * DRIFT_MARGIN * (drift / PARTS_PER_MILLION)));
    }

    /**
     * Gets the duration after which the lender reclaims a loan, long enough that a slow clock of the borrower ends it
     * before.
     *
     * @param loan the duration of the loan, not null
     * @return the duration in nanoseconds
     */
    long lenderNanos(Duration loan) {
        return (long) Math.ceil(loan.toNanos() * (1 + DRIFT_MARGIN * clockDriftPartsPerMillion / PARTS_PER_MILLION));
    }
}
