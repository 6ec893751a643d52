package org.geraniumreach.benchmarks.budget;

/**
 * What a trial runs.
 *
 * <p>Immutable.
 *
 * @param byDemand whether shares follow demand, else a static split
 * @param entries the number of entries
 * @param skew how many times the requests of another entry one entry gets
 * @param shifting whether it is another entry every two minutes
 * @param loadFraction the tokens used a second, as a part of the rate
 * @param rate the account's rate
 * @param burst its burst
 * @param durationSeconds how long the trial lasts, in virtual time
 * @param seed the seed of the requests
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
