package org.geraniumreach.standins.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.standins.load.LoadSettings.AccountLoad;

/**
 * Checks the outcomes that callers received against the engines' stream records.
 *
 * <p>Used by one thread.
 */
final class GenerationRecords {

    private final Map<String, List<EngineRun>> runs = new HashMap<>();

    void add(JsonNode ran) {
        for (JsonNode stream : ran.path("streams")) {
            EngineRun run = EngineRun.of(stream);
            runs.computeIfAbsent(run.request(), request -> new ArrayList<>()).add(run);
        }
    }

    /**
     * Checks that each generation ran only for its sender, each served one ran completely on its adapter, no refused
     * one ran, and no account exceeded its rate and burst in any time window.
     *
     * @param sent the generations sent, by digest
     * @param accounts the load settings of the accounts
     * @return the faults found
     */
    List<String> check(Map<String, SentGeneration> sent, List<AccountLoad> accounts) {
        List<String> faults = new ArrayList<>();
        sent.forEach((request, generation) -> check(request, generation, faults));
        for (AccountLoad account : accounts) {
            if (account.tokensPerSecond() > 0) {
                RateWindows.check(
                                account.name(),
                                account.tokensPerSecond(),
                                account.burstTokens(),
                                usages(account.name(), sent))
                        .ifPresent(faults::add);
            }
        }
        return faults;
    }

    private void check(String request, SentGeneration generation, List<String> faults) {
        List<EngineRun> ran = runs.getOrDefault(request, List.of());
        if (ran.stream().anyMatch(run -> !run.account().equals(generation.account()))) {
            faults.add("a request of " + generation.account() + " ran for another account");
        }
        boolean ranCompletely = ran.stream()
                .anyMatch(run -> run.isWhole()
                        && run.adapter().equals(generation.adapter().toString()));
        if (generation.outcome().isServed() && !ranCompletely) {
            faults.add("a request of " + generation.account() + " was answered and never ran whole on "
                    + generation.adapter());
        }
        if (generation.outcome().verdict() == Outcome.Verdict.REFUSED && !ran.isEmpty()) {
            faults.add("a request of " + generation.account() + " ran although the refusal "
                    + generation.outcome().code() + " says not");
        }
    }

    private List<RateWindows.Usage> usages(String account, Map<String, SentGeneration> sent) {
        List<RateWindows.Usage> uses = new ArrayList<>();
        sent.forEach((request, generation) -> {
            if (generation.account().equals(account)) {
                for (EngineRun run : runs.getOrDefault(request, List.of())) {
                    uses.add(new RateWindows.Usage(generation.sentMillis(), run.queuedMillis(), run.tokens()));
                }
            }
        });
        return uses;
    }

    /**
     * Computes the batch statistics of the engines over these generations.
     *
     * @param sent the generations by digest
     * @return the statistics
     */
    BatchStatistics batchStatistics(Map<String, SentGeneration> sent) {
        List<EngineRun> matching = sent.keySet().stream()
                .flatMap(request -> runs.getOrDefault(request, List.of()).stream())
                .toList();
        return new BatchStatistics(
                matching.size(),
                matching.stream().mapToDouble(EngineRun::batch).average().orElse(0),
                matching.stream().mapToDouble(EngineRun::adapters).average().orElse(0));
    }
}
