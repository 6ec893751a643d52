package org.geraniumreach.benchmarks.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.Well19937c;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.TargetId;

/** Simulates a workload under given policies with one random seed; confined to one thread. */
final class Trial {

    private static final double LINK_LATENCY_SECONDS = 0.001;
    private static final double STATUS_INTERVAL_SECONDS = 0.25;
    private static final double LOAD_REPORT_INTERVAL_SECONDS = 0.1;
    private static final double TICK_INTERVAL_SECONDS = 0.1;
    private static final double ACTIVATED_ADAPTER_FRACTION_PER_SECOND = 0.086 / 3600;

    private final Workload workload;
    private final EventLoop loop = new EventLoop();
    private final TrialMetrics metrics;
    private final Random random;
    private final ZipfDistribution popularity;
    private final List<AdapterReference> adaptersByRank = new ArrayList<>();
    private final List<EntryModel> entries = new ArrayList<>();
    private final Map<TargetId, CompanionModel> companions = new HashMap<>();
    private final Map<AttemptId, EntryModel> entriesByAttempt = new HashMap<>();
    private long requestCount;

    private Trial(Workload workload, Policies policies, long seed) {
        this.workload = workload;
        this.metrics = new TrialMetrics(workload);
        this.random = new Random(seed);
        this.popularity = new ZipfDistribution(new Well19937c(seed), workload.adapters(), workload.zipfExponent());
        WeightStore store = new WeightStore(loop, workload.storeLoadsPerSecond());
        for (int number = 0; number < workload.adapters(); number++) {
            adaptersByRank.add(AdapterReference.of("adapter-" + number, "1"));
        }
        for (int number = 0; number < workload.entries(); number++) {
            entries.add(new EntryModel(loop, policies, seed + number));
        }
        for (int number = 0; number < workload.targets(); number++) {
            addCompanion(number, policies, store);
        }
    }

    static TrialResult run(Workload workload, Policies policies, long seed) {
        Trial trial = new Trial(workload, policies, seed);
        trial.schedule();
        trial.loop.runUntil(Workload.WARM_UP_SECONDS);
        trial.metrics.endWarmUp();
        trial.loop.runUntil(Workload.DURATION_SECONDS);
        return trial.metrics.result();
    }

    private void addCompanion(int number, Policies policies, WeightStore store) {
        TargetId target = TargetId.of("target-" + number);
        CompanionModel companion = new CompanionModel(target, workload, policies, loop, store, metrics);
        companions.put(target, companion);
        entries.forEach(entry -> entry.join(target, number, workload.slots()));
        companion.setListeners(
                request -> loop.scheduleAfter(
                        LINK_LATENCY_SECONDS,
                        () -> entriesByAttempt.get(request.attempt).onAccepted(request)),
                request -> loop.scheduleAfter(
                        LINK_LATENCY_SECONDS,
                        () -> entriesByAttempt.remove(request.attempt).onEnded(request)),
                () -> sendStatus(companion));
    }

    private void schedule() {
        for (int account = 0; account < workload.accountShares().size(); account++) {
            scheduleNextRequest(account);
        }
        int number = 0;
        for (CompanionModel companion : companions.values()) {
            double offset = STATUS_INTERVAL_SECONDS * number++ / companions.size();
            loop.scheduleAfter(offset, () -> loop.scheduleEvery(STATUS_INTERVAL_SECONDS, () -> sendStatus(companion)));
            loop.scheduleAfter(offset, () -> loop.scheduleEvery(TICK_INTERVAL_SECONDS, companion::tick));
            loop.scheduleAfter(
                    offset, () -> loop.scheduleEvery(LOAD_REPORT_INTERVAL_SECONDS, () -> reportLoads(companion)));
        }
        loop.scheduleEvery(1 / (ACTIVATED_ADAPTER_FRACTION_PER_SECOND * workload.adapters()), this::swapPopularity);
    }

    private void scheduleNextRequest(int account) {
        double waitSeconds = -Math.log(1 - random.nextDouble()) / workload.requestsPerSecondOf(account);
        loop.scheduleAfter(waitSeconds, () -> {
            sendRequest(account);
            scheduleNextRequest(account);
        });
    }

    private void sendRequest(int account) {
        TrialRequest request = new TrialRequest(
                requestCount++,
                account,
                drawAdapter(account),
                drawTokenCount(Workload.MEAN_PROMPT_TOKENS),
                drawTokenCount(Workload.MEAN_GENERATED_TOKENS),
                loop.nanos());
        metrics.onCreated(request);
        EntryModel entry = entries.get(random.nextInt(entries.size()));
        TargetId target = entry.send(request);
        entriesByAttempt.put(request.attempt, entry);
        loop.scheduleAfter(LINK_LATENCY_SECONDS, () -> companions.get(target).receive(request));
    }

    /* Each account has its own adapters: those at every n-th rank of popularity, where n is the number of accounts. */
    private AdapterReference drawAdapter(int account) {
        int accounts = workload.accountShares().size();
        int rank = popularity.sample() - 1;
        return adaptersByRank.get(Math.min(adaptersByRank.size() - 1, rank / accounts * accounts + account));
    }

    private int drawTokenCount(double mean) {
        return 1 + (int) (-Math.log(1 - random.nextDouble()) * (mean - 1));
    }

    private void swapPopularity() {
        int accounts = workload.accountShares().size();
        int firstIndex = random.nextInt(adaptersByRank.size());
        int accountRanks = random.nextInt(adaptersByRank.size() / accounts);
        int secondIndex = (firstIndex + accountRanks * accounts) % adaptersByRank.size();
        AdapterReference adapter = adaptersByRank.get(firstIndex);
        adaptersByRank.set(firstIndex, adaptersByRank.get(secondIndex));
        adaptersByRank.set(secondIndex, adapter);
    }

    private void sendStatus(CompanionModel companion) {
        var status = companion.status();
        loop.scheduleAfter(
                LINK_LATENCY_SECONDS,
                () -> entries.forEach(entry -> entry.fleet().apply(status)));
    }

    private void reportLoads(CompanionModel companion) {
        companion.reportLoadsTo(companions.values());
    }
}
