package org.geraniumreach.benchmarks.budget;

/** The counts of a trial; confined to one thread. */
final class BudgetTrialResult {

    private long requests;
    private long centrallyAdmitted;
    private long refused;
    private long wronglyRefused;
    private double waited;
    private double longestWait;
    private long messages;
    private long commits;

    void admitted(double waitSeconds, boolean centrally) {
        requests++;
        centrallyAdmitted += centrally ? 1 : 0;
        waited += waitSeconds;
        longestWait = Math.max(longestWait, waitSeconds);
    }

    void refused(boolean centrally) {
        requests++;
        refused++;
        centrallyAdmitted += centrally ? 1 : 0;
        wronglyRefused += centrally ? 1 : 0;
    }

    void message() {
        messages++;
    }

    void commits(int count) {
        commits = count;
    }

    double wrongfulPercent() {
        return 100.0 * wronglyRefused / requests;
    }

    String line() {
        return String.format(
                "requests %d, central admits %.3f%%, refused %.3f%%, wrongly %.4f%%, mean wait %.2f ms, longest %.0f ms,"
                        + " loan frames per request %.3f, commits %d",
                requests,
                100.0 * centrallyAdmitted / requests,
                100.0 * refused / requests,
                wrongfulPercent(),
                1000 * waited / (requests - refused),
                1000 * longestWait,
                (double) messages / requests,
                commits);
    }
}
