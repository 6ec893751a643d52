package org.geraniumreach.benchmarks.budget;

/**
 * The parameters of a trial; immutable.
 *
 * @param byDemand whether shares follow demand; otherwise they are a static split
 * @param entries the number of entries
 * @param skew the ratio of the requests of the most loaded entry to those of each other entry
 * @param shifting whether the most loaded entry changes every two minutes
 * @param loadFraction the mean tokens used per second, as a fraction of the rate
 * @param rate the account's rate, in tokens per second
 * @param burst the account's burst, in tokens
 * @param durationSeconds the length of the trial in virtual time
 * @param seed the seed of the random requests
 */
record BudgetTrialPlan(
        boolean byDemand,
        int entries,
        int skew,
        boolean shifting,
        double loadFraction,
        long rate,
        long burst,
        double durationSeconds,
        long seed) {}
