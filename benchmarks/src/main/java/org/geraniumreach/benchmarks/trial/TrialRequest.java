package org.geraniumreach.benchmarks.trial;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;

/** A request on its way; confined to the trial's thread. */
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
            long number, int account, AdapterReference adapter, int promptTokens, int generatedTokens, long bornAt) {
        this.attempt = AttemptId.of("attempt-" + number);
        this.accountIndex = account;
        this.accountId = AccountId.of("account-" + account);
        this.adapter = adapter;
        this.promptTokens = promptTokens;
        this.generatedTokens = generatedTokens;
        this.createdAtNanos = bornAt;
    }

    int tokens() {
        return promptTokens + generatedTokens;
    }

    double stallSeconds(long now) {
        if (!stalled) {
            return 0;
        }
        return ((readyAtNanos >= 0 ? readyAtNanos : now) - queuedAtNanos) / 1e9;
    }
}
