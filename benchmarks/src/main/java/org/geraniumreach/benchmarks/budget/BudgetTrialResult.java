package org.geraniumreach.benchmarks.budget;

/** Counts the outcomes of the requests of a trial; confined to one thread. */
final class BudgetTrialResult {

    private long requests;
    private long centrallyAdmitted;
    private long refused;
    private long wronglyRefused;
    private double totalWaitSeconds;
    private double longestWaitSeconds;
    private long messages;
    private long commits;

    void recordAdmitted(double waitSeconds, boolean admittedCentrally) {
        requests++;
        centrallyAdmitted += admittedCentrally ? 1 : 0;
        totalWaitSeconds += waitSeconds;
        longestWaitSeconds = Math.max(longestWaitSeconds, waitSeconds);
    }

    void recordRefused(boolean admittedCentrally) {
        requests++;
        refused++;
        centrallyAdmitted += admittedCentrally ? 1 : 0;
        wronglyRefused += admittedCentrally ? 1 : 0;
    }

    void recordMessage() {
        messages++;
    }

    void setCommits(int count) {
        commits = count;
    }

    double wronglyRefusedPercent() {
        return 100.0 * wronglyRefused / requests;
    }

    String summary() {
        return String.format(
                "requests %d, central admits %.3f%%, refused %.3f%%, wrongly %.4f%%, mean wait %.2f ms, longest %.0f ms,"
                        + " loan frames per request %.3f, commits %d",
                requests,
                100.0 * centrallyAdmitted / requests,
                100.0 * refused / requests,
                wronglyRefusedPercent(),
                1000 * totalWaitSeconds / (requests - refused),
                1000 * longestWaitSeconds,
                (double) messages / requests,
                commits);
    }
}
