package org.geraniumreach.benchmarks.trial;

import java.util.Arrays;

import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;

/** Collects the measurements of a trial after its warm-up; confined to the trial's thread. */
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
        double createdAtSeconds = request.createdAtNanos / 1e9;
        return createdAtSeconds >= Workload.WARM_UP_SECONDS
                && createdAtSeconds <= Workload.DURATION_SECONDS - Workload.DEADLINE_SECONDS;
    }

    void onCreated(TrialRequest request) {
        if (isMeasured(request)) {
            requestedTokens[request.accountIndex] += request.tokens();
        }
    }

    void onEnded(TrialRequest request, long nowNanos) {
        if (isMeasured(request)) {
            servedTokens[request.accountIndex] += request.tokens();
            double latency = (nowNanos - request.createdAtNanos) / 1e9;
            latencies.addValue(latency);
            accountLatencies[request.accountIndex].addValue(latency);
            recordStall(request, nowNanos);
        }
    }

    void onExpired(TrialRequest request, long nowNanos) {
        if (isMeasured(request)) {
            expiredCount++;
            latencies.addValue(Workload.DEADLINE_SECONDS);
            accountLatencies[request.accountIndex].addValue(Workload.DEADLINE_SECONDS);
            recordStall(request, nowNanos);
        }
    }

    private void recordStall(TrialRequest request, long nowNanos) {
        stalls.addValue(request.stallSeconds(nowNanos));
        stalledCount += request.stalled ? 1 : 0;
    }

    void onLoaded(long nowNanos) {
        double atSeconds = nowNanos / 1e9;
        loadCount += atSeconds >= Workload.WARM_UP_SECONDS
                        && atSeconds <= Workload.DURATION_SECONDS - Workload.DEADLINE_SECONDS
                ? 1
                : 0;
    }

    void onEngineRan(double seconds, int batchSize, int adapters, double generatedInBatch) {
        if (warmedUp) {
            busySeconds += seconds;
            requestSeconds += seconds * batchSize;
            adapterSeconds += seconds * adapters;
            generatedTokens += generatedInBatch;
        }
    }

    TrialResult result() {
        double requests = stalls.getN();
        int worstAccount = worstServedAccount();
        return new TrialResult(
                stalledCount / requests,
                stalls.getMean(),
                stalls.getPercentile(PERCENTILE_95),
                stalls.getPercentile(PERCENTILE_99),
                1000 * loadCount / requests,
                requestSeconds / busySeconds,
                adapterSeconds / busySeconds,
                generatedTokens / busySeconds,
                servedTokens[worstAccount] / requestedTokens[worstAccount],
                accountLatencies[worstAccount].getPercentile(PERCENTILE_99),
                latencies.getPercentile(PERCENTILE_95),
                expiredCount / requests);
    }

    private int worstServedAccount() {
        int worstAccount = -1;
        for (int account = 0; account < requestedTokens.length; account++) {
            boolean flooding = account == workload.floodAccount() && workload.floodFactor() > 1;
            if (!flooding
                    && (worstAccount < 0
                            || servedTokens[account] / requestedTokens[account]
                                    < servedTokens[worstAccount] / requestedTokens[worstAccount])) {
                worstAccount = account;
            }
        }
        return worstAccount;
    }
}
