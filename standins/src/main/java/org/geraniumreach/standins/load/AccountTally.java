package org.geraniumreach.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * What one account got.
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
     * Gets the results.
     *
     * @param load what the account sent
     * @param idealAdmits how many generations one central bucket would have let through
     * @param elapsedSeconds how long the run took
     * @return the results
     */
    synchronized AccountResult result(LoadSettings.AccountLoad load, int idealAdmits, double elapsedSeconds) {
        double allowed = load.tokensPerSecond() > 0
                ? load.burstTokens() + load.tokensPerSecond() * elapsedSeconds
                : Double.MAX_VALUE;
        return new AccountResult(
                account,
                sent,
                count(Outcome.Verdict.SERVED),
                count(Outcome.Verdict.REFUSED),
                count(Outcome.Verdict.FAILED),
                count(Outcome.Verdict.WRONG),
                Math.max(0, idealAdmits - generations + codes.getOrDefault(OUT_OF_BUDGET, 0)),
                tokens,
                tokens <= allowed,
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
