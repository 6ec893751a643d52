package org.geraniumreach.benchmarks.budget;

import java.util.List;

import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;

/** Runs a static split and shares by demand on the same requests, and prints a line per trial and a summary of all seeds. */
public final class BudgetTrialMain {

    private static final int SEED_COUNT = 5;
    private static final List<Double> LOAD_FRACTIONS = List.of(0.5, 0.7, 0.8);
    private static final int ENTRY_COUNT = 3;
    private static final int SKEW = 4;
    private static final long TOKENS_PER_SECOND = 10_000;
    private static final long BURST_TOKENS = 30_000;
    private static final double DURATION_SECONDS = 2000;

    private BudgetTrialMain() {}

    /**
     * Runs the trials.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        for (boolean shifting : List.of(false, true)) {
            for (double load : LOAD_FRACTIONS) {
                for (boolean byDemand : List.of(false, true)) {
                    runSeeds(shifting, load, byDemand);
                }
            }
        }
    }

    private static void runSeeds(boolean shifting, double load, boolean byDemand) {
        String name = String.format(
                "%s, %d entries, skew %d:1%s, load %.1f",
                byDemand ? "by demand" : "static split", ENTRY_COUNT, SKEW, shifting ? " moving" : "", load);
        DescriptiveStatistics wrongful = new DescriptiveStatistics();
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            BudgetTrialPlan plan = new BudgetTrialPlan(
                    byDemand,
                    ENTRY_COUNT,
                    SKEW,
                    shifting,
                    load,
                    TOKENS_PER_SECOND,
                    BURST_TOKENS,
                    DURATION_SECONDS,
                    seed);
            BudgetTrialResult result = new BudgetTrial(plan).run();
            wrongful.addValue(result.wronglyRefusedPercent());
            System.out.println(name + ", seed " + seed + ": " + result.summary());
        }
        System.out.printf(
                "%s: wrongly refused %.4f%% (%.4f to %.4f)%n",
                name, wrongful.getMean(), wrongful.getMin(), wrongful.getMax());
    }
}
