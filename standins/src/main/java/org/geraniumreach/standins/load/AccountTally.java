package org.geraniumreach.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Collects the results of one client account.
 *
 * <p>Safe for use by several threads, under its own lock.
 */
final class AccountTally {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int MAXIMUM_DETAILS = 10;
    private static final String OUT_OF_BUDGET = "OUT_OF_BUDGET";

    private final String account;
    private final Histogram firstToken = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram betweenTokens = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram booking = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<String, Integer> codes = new TreeMap<>();
    private final Map<Outcome.Verdict, Integer> verdicts = new TreeMap<>();
    private final List<String> details = new ArrayList<>();
    private final Map<String, Integer> retriedCodes = new TreeMap<>();
    private int sent;
    private int generations;
    private long tokens;

    AccountTally(String account) {
        this.account = account;
    }

    String account() {
        return account;
    }

    synchronized void recordSent(boolean isBooking) {
        sent++;
        generations += isBooking ? 0 : 1;
    }

    synchronized void recordFirstToken(long nanos) {
        firstToken.recordValue(Math.max(0, nanos / 1000));
    }

    synchronized void recordBetweenTokens(long nanos) {
        betweenTokens.recordValue(Math.max(0, nanos / 1000));
    }

    synchronized void recordBooking(long nanos) {
        booking.recordValue(Math.max(0, nanos / 1000));
    }

    synchronized void recordRetry(Outcome outcome) {
        retriedCodes.merge(outcome.code().isEmpty() ? outcome.detail() : outcome.code(), 1, Integer::sum);
    }

    synchronized void recordOutcome(Outcome outcome) {
        verdicts.merge(outcome.verdict(), 1, Integer::sum);
        tokens += outcome.tokens();
        if (!outcome.code().isEmpty()) {
            codes.merge(outcome.code(), 1, Integer::sum);
        }
        String detail = outcome.verdict() + " " + outcome.code() + ": " + outcome.detail();
        if (!outcome.detail().isEmpty() && details.size() < MAXIMUM_DETAILS && !details.contains(detail)) {
            details.add(detail);
        }
    }

    /**
     * Returns the results.
     *
     * @param load the load settings of the account
     * @param referenceAdmits the number of generations that one central token bucket would have admitted
     * @param elapsedSeconds the duration of the run
     * @return the results, not null
     */
    synchronized AccountResult result(LoadSettings.AccountLoad load, int referenceAdmits, double elapsedSeconds) {
        double allowedTokens = load.tokensPerSecond() > 0
                ? load.burstTokens() + load.tokensPerSecond() * elapsedSeconds
                : Double.MAX_VALUE;
        return new AccountResult(
                account,
                sent,
                count(Outcome.Verdict.SERVED),
                count(Outcome.Verdict.REFUSED),
                count(Outcome.Verdict.FAILED),
                count(Outcome.Verdict.WRONG),
                Math.max(0, referenceAdmits - generations + codes.getOrDefault(OUT_OF_BUDGET, 0)),
                tokens,
                tokens <= allowedTokens,
                Map.copyOf(codes),
                Map.copyOf(retriedCodes),
                LatencySummary.of(firstToken),
                LatencySummary.of(betweenTokens),
                LatencySummary.of(booking),
                List.copyOf(details));
    }

    private int count(Outcome.Verdict verdict) {
        return verdicts.getOrDefault(verdict, 0);
    }
}
