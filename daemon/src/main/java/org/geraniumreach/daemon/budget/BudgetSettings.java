package org.geraniumreach.daemon.budget;

import java.time.Duration;

import org.geraniumreach.coordination.budget.BudgetPolicy;
import org.geraniumreach.coordination.budget.SharingPolicy;
import org.geraniumreach.daemon.settings.ConsistentSettings;
import org.geraniumreach.daemon.settings.Setting;

/**
 * Settings of the budget, which must be equal at all entries of a fleet.
 *
 * <p>Invariant, checked by {@link BudgetService}: the quarantine exceeds the sum of the proof limit, twice the list lag,
 * the loan duration and the drift of two clocks. Immutable and safe for use by several threads.
 *
 * @param sharing whether entries lend and transfer shares
 * @param leaseRenewal the interval between renewals of the lease
 * @param proofLimit how long a renewed lease, or a reading of the instance list, proves that the shares are held
 * @param listLag the maximum lag of the instance list
 * @param quarantine how long a holder must be absent before its shares are reclaimed
 * @param loanDuration the duration of a loan
 * @param loanAnswerLimit how long a loan request goes unanswered before the next entry is asked
 * @param longestWait the maximum time that a request waits for budget
 * @param scanInterval the interval between scans for shares without a holder
 * @param clockDriftPartsPerMillion the maximum drift of a clock, in parts per million
 */
public record BudgetSettings(
        @Setting(value = "by-demand", about = "Whether entries lend and hand over shares: by-demand or static-split.")
                Sharing sharing,
        @Setting(value = "5s", least = "100ms", about = "How often an entry renews its lease in the table service.")
                Duration leaseRenewal,
        @Setting(value = "12s", least = "200ms", about = "How long a renewed lease, or a reading of the list, counts.")
                Duration proofLimit,
        @Setting(value = "3s", least = "0ms", about = "The greatest lag of the platform's instance list.")
                Duration listLag,
        @Setting(
                        value = "24s",
                        least = "500ms",
                        about = "How long an entry must be gone before its shares are taken back.")
                Duration quarantine,
        @Setting(value = "2s", least = "50ms", about = "How long a loan between entries lasts.") Duration loanDuration,
        @Setting(
                        value = "100ms",
                        least = "1ms",
                        about = "How long a loan request goes unanswered before the next entry is asked.")
                Duration loanAnswerLimit,
        @Setting(value = "2s", least = "0ms", about = "How long a request may wait for budget that is certain to come.")
                Duration longestWait,
        @Setting(value = "2s", least = "100ms", about = "How often a few entries look for shares that nobody holds.")
                Duration scanInterval,
        @Setting(
                        value = "500",
                        least = "0",
                        greatest = "10000",
                        about = "The greatest drift of a clock, in parts per million.")
                int clockDriftPartsPerMillion)
        implements ConsistentSettings {

    @Override
    public void requireConsistent() {
        policy();
    }

    /** How entries share a client account's budget. */
    public enum Sharing {
        /** Shares follow demand, by loans and transfers. */
        BY_DEMAND,
        /** Shares do not move; serves as a baseline for comparison. */
        STATIC_SPLIT
    }

    /**
     * Gets the budget policy that these settings describe.
     *
     * @return the policy, not null
     * @throws IllegalArgumentException if the quarantine is too short for the other settings
     */
    public BudgetPolicy policy() {
        return new BudgetPolicy(
                sharing == Sharing.BY_DEMAND ? SharingPolicy.byDemand() : SharingPolicy.staticSplit(),
                leaseRenewal,
                proofLimit,
                listLag,
                quarantine,
                loanDuration,
                loanAnswerLimit,
                longestWait,
                scanInterval,
                clockDriftPartsPerMillion);
    }
}
