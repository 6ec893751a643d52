package org.geraniumreach.daemon.budget;

import java.time.Duration;

import org.geraniumreach.coordination.budget.BudgetPolicy;
import org.geraniumreach.coordination.budget.SharingPolicy;
import org.geraniumreach.daemon.settings.ConsistentSettings;
import org.geraniumreach.daemon.settings.Setting;

/**
 * Settings of the budget; all entries of a fleet must have the same.
 *
 * <p>Invariant, checked by {@link BudgetService}: the quarantine exceeds the proof limit, twice the list's lag, a loan and the
 * drift of two clocks together. Immutable and safe for use by several threads.
 *
 * @param sharing whether entries lend and hand over shares
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
        @Setting(value = "100ms", least = "1ms", about = "How long an answer to a loan request is waited for.")
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
        /** Shares follow demand, by loans and handovers. */
        BY_DEMAND,
        /** Shares stay where they are, for comparison. */
        STATIC_SPLIT
    }

    /**
     * Gets the settings as the core takes them.
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
