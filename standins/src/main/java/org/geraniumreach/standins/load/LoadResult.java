package org.geraniumreach.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The results of a run.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param seed the seed of the run
 * @param seconds the duration of the run, including answers
 * @param latestSendMillis the maximum delay between the due time and the send of a request, in milliseconds
 * @param accounts the results by account
 * @param batches the batch statistics of the engines
 * @param stalls the statistics of requests stalled on adapter loads
 * @param faults the checks that failed, empty if all passed
 */
public record LoadResult(
        long seed,
        double seconds,
        double latestSendMillis,
        List<AccountResult> accounts,
        BatchStatistics batches,
        StallStatistics stalls,
        List<String> faults) {

    /**
     * Queries whether all checks passed.
     *
     * @return true if so
     */
    public boolean held() {
        return faults.isEmpty();
    }

    LoadResult withFaults(List<String> additional) {
        List<String> all = new ArrayList<>(faults);
        all.addAll(additional);
        return new LoadResult(seed, seconds, latestSendMillis, accounts, batches, stalls, all);
    }

    LoadResult withBatches(BatchStatistics newBatches) {
        return new LoadResult(seed, seconds, latestSendMillis, accounts, newBatches, stalls, faults);
    }

    LoadResult withStalls(StallStatistics newStalls) {
        return new LoadResult(seed, seconds, latestSendMillis, accounts, batches, newStalls, faults);
    }

    /**
     * Formats the results as a table.
     *
     * @return the lines, not null
     */
    public List<String> toTable() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                Locale.ROOT,
                "%-16s %6s %6s %7s %6s %5s %8s %9s   %s",
                "account",
                "sent",
                "served",
                "refused",
                "failed",
                "wrong",
                "tokens",
                "wrongful",
                "first token p50/p99 ms, between tokens p50/p99 ms, booking p50/p99 ms"));
        accounts.forEach(account -> lines.add(line(account)));
        if (batches.streams() > 0) {
            lines.add(String.format(
                    Locale.ROOT,
                    "engines: %d streams, mean batch %.1f, mean adapters in a batch %.1f",
                    batches.streams(),
                    batches.meanBatch(),
                    batches.meanAdapters()));
        }
        if (stalls.requests() > 0) {
            lines.add(String.format(
                    Locale.ROOT,
                    "loads: %.1f%% of requests stalled, 95 in 100 below %.0f ms, 99 in 100 below %.0f ms, %.1f loads per thousand",
                    100 * stalls.stalledShare(),
                    stalls.boundMillis95(),
                    stalls.boundMillis99(),
                    stalls.loadsPerThousand()));
        }
        faults.forEach(fault -> lines.add("DID NOT HOLD: " + fault));
        return lines;
    }

    private static String line(AccountResult account) {
        return String.format(
                Locale.ROOT,
                "%-16s %6d %6d %7d %6d %5d %8d %9d   %.1f/%.1f  %.1f/%.1f  %.1f/%.1f  %s",
                account.account(),
                account.sent(),
                account.served(),
                account.refused(),
                account.failed(),
                account.wrong(),
                account.tokens(),
                account.wrongfullyRefused(),
                account.firstToken().p50(),
                account.firstToken().p99(),
                account.betweenTokens().p50(),
                account.betweenTokens().p99(),
                account.booking().p50(),
                account.booking().p99(),
                account.codes() + (account.retriedCodes().isEmpty() ? "" : " retried " + account.retriedCodes()));
    }
}
