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

/** One run of a workload under some policies, from one seed; confined to its thread. */
final class Trial {

    private static final double LINK_SECONDS = 0.001;
    private static final double STATUS_SECONDS = 0.25;
    private static final double NEWS_SECONDS = 0.1;
    private static final double TICK_SECONDS = 0.1;
    private static final double AWAKENING_SHARE_PER_SECOND = 0.086 / 3600;

    private final Workload workload;
    private final EventLoop loop = new EventLoop();
    private final TrialMetrics metrics;
    private final Random random;
    private final ZipfDistribution popularity;
    private final List<AdapterReference> ranking = new ArrayList<>();
    private final List<EntryModel> entries = new ArrayList<>();
    private final Map<TargetId, CompanionModel> companions = new HashMap<>();
    private final Map<AttemptId, EntryModel> senders = new HashMap<>();
    private long requests;

    private Trial(Workload workload, Policies policies, long seed) {
        this.workload = workload;
        this.metrics = new TrialMetrics(workload);
        this.random = new Random(seed);
        this.popularity = new ZipfDistribution(new Well19937c(seed), workload.adapters(), workload.zipfExponent());
        WeightStore store = new WeightStore(loop, workload.storeLoadsPerSecond());
        for (int number = 0; number < workload.adapters(); number++) {
            ranking.add(AdapterReference.of("adapter-" + number, "1"));
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
        trial.metrics.warm();
        trial.loop.runUntil(Workload.SECONDS);
        return trial.metrics.result();
    }

    private void addCompanion(int number, Policies policies, WeightStore store) {
        TargetId target = TargetId.of("target-" + number);
        CompanionModel companion = new CompanionModel(target, workload, policies, loop, store, metrics);
        companions.put(target, companion);
        entries.forEach(entry -> entry.join(target, number, workload.slots()));
        companion.listen(
                request -> loop.after(
                        LINK_SECONDS, () -> senders.get(request.attempt).accepted(request)),
                request -> loop.after(
                        LINK_SECONDS, () -> senders.remove(request.attempt).ended(request)),
                () -> report(companion));
    }

    private void schedule() {
        for (int account = 0; account < workload.accountShares().size(); account++) {
            scheduleNext(account);
        }
        int number = 0;
        for (CompanionModel companion : companions.values()) {
            double offset = STATUS_SECONDS * number++ / companions.size();
            loop.after(offset, () -> loop.every(STATUS_SECONDS, () -> report(companion)));
            loop.after(offset, () -> loop.every(TICK_SECONDS, companion::tick));
            loop.after(offset, () -> loop.every(NEWS_SECONDS, () -> tellOthers(companion)));
        }
        loop.every(1 / (AWAKENING_SHARE_PER_SECOND * workload.adapters()), this::swapTwo);
    }

    private void scheduleNext(int account) {
        double wait = -Math.log(1 - random.nextDouble()) / workload.rateOf(account);
        loop.after(wait, () -> {
            send(account);
            scheduleNext(account);
        });
    }

    private void send(int account) {
        TrialRequest request = new TrialRequest(
                requests++,
                account,
                adapterOf(account),
                tokens(Workload.MEAN_PROMPT_TOKENS),
                tokens(Workload.MEAN_GENERATED_TOKENS),
                loop.nanos());
        metrics.born(request);
        EntryModel entry = entries.get(random.nextInt(entries.size()));
        TargetId target = entry.send(request);
        senders.put(request.attempt, entry);
        loop.after(LINK_SECONDS, () -> companions.get(target).receive(request));
    }

    /* Each account has its own adapters: of the popularity ranking, those that its share of the ranks falls on. */
    private AdapterReference adapterOf(int account) {
        int accounts = workload.accountShares().size();
        int rank = popularity.sample() - 1;
        return ranking.get(Math.min(ranking.size() - 1, rank / accounts * accounts + account));
    }

    private int tokens(double mean) {
        return 1 + (int) (-Math.log(1 - random.nextDouble()) * (mean - 1));
    }

    private void swapTwo() {
        int accounts = workload.accountShares().size();
        int awakes = random.nextInt(ranking.size());
        int steps = random.nextInt(ranking.size() / accounts);
        int idles = (awakes + steps * accounts) % ranking.size();
        AdapterReference adapter = ranking.get(awakes);
        ranking.set(awakes, ranking.get(idles));
        ranking.set(idles, adapter);
    }

    private void report(CompanionModel companion) {
        var status = companion.status();
        loop.after(LINK_SECONDS, () -> entries.forEach(entry -> entry.fleet().apply(status)));
    }

    private void tellOthers(CompanionModel companion) {
        companion.tell(companions.values());
    }
}
