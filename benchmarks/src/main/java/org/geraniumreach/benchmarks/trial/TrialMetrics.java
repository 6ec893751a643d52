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
    private final double[] due;
    private final double[] served;
    private long stalled;
    private long loads;
    private long expired;
    private double busy;
    private double requestTime;
    private double adapterTime;
    private double tokens;
    private boolean warm;

    TrialMetrics(Workload workload) {
        this.workload = workload;
        int accounts = workload.accountShares().size();
        this.due = new double[accounts];
        this.served = new double[accounts];
        this.accountLatencies = new DescriptiveStatistics[accounts];
        Arrays.setAll(accountLatencies, account -> new DescriptiveStatistics());
    }

    void warm() {
        warm = true;
    }

    private boolean counts(TrialRequest request) {
        double born = request.bornAt / 1e9;
        return born >= Workload.WARM_UP_SECONDS && born <= Workload.SECONDS - Workload.DEADLINE_SECONDS;
    }

    void born(TrialRequest request) {
        if (counts(request)) {
            due[request.account] += request.tokens();
        }
    }

    void ended(TrialRequest request, long now) {
        if (counts(request)) {
            served[request.account] += request.tokens();
            double latency = (now - request.bornAt) / 1e9;
            latencies.addValue(latency);
            accountLatencies[request.account].addValue(latency);
            stall(request, now);
        }
    }

    void expired(TrialRequest request, long now) {
        if (counts(request)) {
            expired++;
            latencies.addValue(Workload.DEADLINE_SECONDS);
            accountLatencies[request.account].addValue(Workload.DEADLINE_SECONDS);
            stall(request, now);
        }
    }

    private void stall(TrialRequest request, long now) {
        stalls.addValue(request.stallSeconds(now));
        stalled += request.stalled ? 1 : 0;
    }

    void loaded(long now) {
        double at = now / 1e9;
        loads += at >= Workload.WARM_UP_SECONDS && at <= Workload.SECONDS - Workload.DEADLINE_SECONDS ? 1 : 0;
    }

    void ran(double seconds, int batch, int adapters, double generated) {
        if (warm) {
            busy += seconds;
            requestTime += seconds * batch;
            adapterTime += seconds * adapters;
            tokens += generated;
        }
    }

    TrialResult result() {
        double requests = stalls.getN();
        int worst = worstServed();
        return new TrialResult(
                stalled / requests,
                stalls.getMean(),
                stalls.getPercentile(PERCENTILE_95),
                stalls.getPercentile(PERCENTILE_99),
                1000 * loads / requests,
                requestTime / busy,
                adapterTime / busy,
                tokens / busy,
                served[worst] / due[worst],
                accountLatencies[worst].getPercentile(PERCENTILE_99),
                latencies.getPercentile(PERCENTILE_95),
                expired / requests);
    }

    private int worstServed() {
        int worst = -1;
        for (int account = 0; account < due.length; account++) {
            boolean floods = account == workload.floodAccount() && workload.floodFactor() > 1;
            if (!floods && (worst < 0 || served[account] / due[account] < served[worst] / due[worst])) {
                worst = account;
            }
        }
        return worst;
    }
}
