package org.geraniumreach.benchmarks.trial;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;

/** A simulated request; confined to the trial's thread. */
final class TrialRequest {

    final AttemptId attempt;
    final int accountIndex;
    final AccountId accountId;
    final AdapterReference adapter;
    final int promptTokens;
    final int generatedTokens;
    final long createdAtNanos;
    long queuedAtNanos;
    long readyAtNanos = -1;
    boolean stalled;

    TrialRequest(
            long number,
            int accountIndex,
            AdapterReference adapter,
            int promptTokens,
            int generatedTokens,
            long createdAtNanos) {
        this.attempt = AttemptId.of("attempt-" + number);
        this.accountIndex = accountIndex;
        this.accountId = AccountId.of("account-" + accountIndex);
        this.adapter = adapter;
        this.promptTokens = promptTokens;
        this.generatedTokens = generatedTokens;
        this.createdAtNanos = createdAtNanos;
    }

    int tokens() {
        return promptTokens + generatedTokens;
    }

    double stallSeconds(long nowNanos) {
        if (!stalled) {
            return 0;
        }
        return ((readyAtNanos >= 0 ? readyAtNanos : nowNanos) - queuedAtNanos) / 1e9;
    }
}
