package org.geraniumreach.benchmarks.trial;

import java.util.Arrays;

import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;

/** What a trial counts, after its warm-up; confined to the trial's thread. */
final class TrialMetrics {

    private static final double PERCENTILE_95 = 95;
    private static final double PERCENTILE_99 = 99;

    private final Workload workload;
    private final DescriptiveStatistics stalls = new DescriptiveStatistics();
    private final DescriptiveStatistics latencies = new DescriptiveStatistics();
    private final DescriptiveStatistics[] accountLatencies;
    private final double[] requestedTokens;
    private final double[] servedTokens;
    private long stalledCount;
    private long loadCount;
    private long expiredCount;
    private double busySeconds;
    private double requestSeconds;
    private double adapterSeconds;
    private double generatedTokens;
    private boolean warmedUp;

    TrialMetrics(Workload workload) {
        this.workload = workload;
        int accounts = workload.accountShares().size();
        this.requestedTokens = new double[accounts];
        this.servedTokens = new double[accounts];
        this.accountLatencies = new DescriptiveStatistics[accounts];
        Arrays.setAll(accountLatencies, account -> new DescriptiveStatistics());
    }

    void endWarmUp() {
        warmedUp = true;
    }

    private boolean isMeasured(TrialRequest request) {
        double born = request.createdAtNanos / 1e9;
        return born >= Workload.WARM_UP_SECONDS && born <= Workload.DURATION_SECONDS - Workload.DEADLINE_SECONDS;
    }

    void onCreated(TrialRequest request) {
        if (isMeasured(request)) {
            requestedTokens[request.accountIndex] += request.tokens();
        }
    }

    void onEnded(TrialRequest request, long now) {
        if (isMeasured(request)) {
            servedTokens[request.accountIndex] += request.tokens();
            double latency = (now - request.createdAtNanos) / 1e9;
            latencies.addValue(latency);
            accountLatencies[request.accountIndex].addValue(latency);
            recordStall(request, now);
        }
    }

    void onExpired(TrialRequest request, long now) {
        if (isMeasured(request)) {
            expiredCount++;
            latencies.addValue(Workload.DEADLINE_SECONDS);
            accountLatencies[request.accountIndex].addValue(Workload.DEADLINE_SECONDS);
            recordStall(request, now);
        }
    }

    private void recordStall(TrialRequest request, long now) {
        stalls.addValue(request.stallSeconds(now));
        stalledCount += request.stalled ? 1 : 0;
    }

    void onLoaded(long now) {
        double at = now / 1e9;
        loadCount +=
                at >= Workload.WARM_UP_SECONDS && at <= Workload.DURATION_SECONDS - Workload.DEADLINE_SECONDS ? 1 : 0;
    }

    void onEngineRan(double seconds, int batch, int adapters, double generated) {
        if (warmedUp) {
            busySeconds += seconds;
            requestSeconds += seconds * batch;
            adapterSeconds += seconds * adapters;
            generatedTokens += generated;
        }
    }

    TrialResult result() {
        double requests = stalls.getN();
        int worst = worstServedAccount();
        return new TrialResult(
                stalledCount / requests,
                stalls.getMean(),
                stalls.getPercentile(PERCENTILE_95),
                stalls.getPercentile(PERCENTILE_99),
                1000 * loadCount / requests,
                requestSeconds / busySeconds,
                adapterSeconds / busySeconds,
                generatedTokens / busySeconds,
                servedTokens[worst] / requestedTokens[worst],
                accountLatencies[worst].getPercentile(PERCENTILE_99),
                latencies.getPercentile(PERCENTILE_95),
                expiredCount / requests);
    }

    private int worstServedAccount() {
        int worst = -1;
        for (int account = 0; account < requestedTokens.length; account++) {
            boolean floods = account == workload.floodAccount() && workload.floodFactor() > 1;
            if (!floods
                    && (worst < 0
                            || servedTokens[account] / requestedTokens[account]
                                    < servedTokens[worst] / requestedTokens[worst])) {
                worst = account;
            }
        }
        return worst;
    }
}
