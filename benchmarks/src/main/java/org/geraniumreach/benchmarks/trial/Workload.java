package org.geraniumreach.benchmarks.trial;

import java.util.List;

/**
 * The size of a fleet and the requests sent to it; immutable.
 *
 * @param name the name in reports
 * @param targets the number of targets, each with one engine
 * @param slots the number of adapters that an engine can hold
 * @param concurrency the maximum number of requests that an engine runs at once
 * @param entries the number of entries
 * @param adapters the number of adapters
 * @param zipfExponent the exponent of the Zipf distribution of adapter popularity
 * @param storeLoadsPerSecond the transfers that the weight store starts per second
 * @param requestsPerSecond the requests per second of all accounts together, without the flood
 * @param accountShares the share of each account in these requests
 * @param floodAccount the index of the account that floods
 * @param floodFactor the factor by which that account exceeds its rate; 1 for no flood
 */
record Workload(
        String name,
        int targets,
        int slots,
        int concurrency,
        int entries,
        int adapters,
        double zipfExponent,
        double storeLoadsPerSecond,
        double requestsPerSecond,
        List<Double> accountShares,
        int floodAccount,
        double floodFactor) {

    static final double DURATION_SECONDS = 600;
    static final double WARM_UP_SECONDS = 120;
    static final double DEADLINE_SECONDS = 30;
    static final double MEAN_GENERATED_TOKENS = 128;
    static final double MEAN_PROMPT_TOKENS = 200;

    private static final List<Double> ACCOUNT_SHARES = List.of(0.4, 0.3, 0.15, 0.1, 0.05);
    private static final int FLOOD_ACCOUNT_INDEX = 1;
    private static final int SCARCE_TOKENS_ADAPTERS = 120;

    static Workload sabarmati() {
        return new Workload("Sabarmati", 13, 16, 16, 3, 3000, 1.1, 4.5, 16, ACCOUNT_SHARES, FLOOD_ACCOUNT_INDEX, 1);
    }

    static Workload siam() {
        return new Workload("Siam", 6, 16, 16, 3, 3000, 1.1, 2, 6, ACCOUNT_SHARES, FLOOD_ACCOUNT_INDEX, 1);
    }

    Workload withFlood(double factor) {
        return new Workload(
                name + ", flood",
                targets,
                slots,
                concurrency,
                entries,
                adapters,
                zipfExponent,
                storeLoadsPerSecond,
                requestsPerSecond,
                accountShares,
                floodAccount,
                factor);
    }

    /**
     * Copies this workload with few adapters and nearly saturated engines, so that tokens are scarce and adapter loads are
     * not.
     *
     * @return the copy
     */
    Workload withScarceTokens() {
        return new Workload(
                name + ", tokens short",
                targets,
                slots,
                4,
                entries,
                SCARCE_TOKENS_ADAPTERS,
                zipfExponent,
                storeLoadsPerSecond,
                2.2 * targets,
                accountShares,
                floodAccount,
                floodFactor);
    }

    Workload withSlots(int count) {
        return new Workload(
                name + ", " + count + " slots",
                targets,
                count,
                concurrency,
                entries,
                adapters,
                zipfExponent,
                storeLoadsPerSecond,
                requestsPerSecond,
                accountShares,
                floodAccount,
                floodFactor);
    }

    double requestsPerSecondOf(int account) {
        double rate = requestsPerSecond * accountShares.get(account);
        return account == floodAccount ? rate * floodFactor : rate;
    }
}
