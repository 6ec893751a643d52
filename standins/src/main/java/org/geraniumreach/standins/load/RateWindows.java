package org.geraniumreach.standins.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Checks that an account stayed within its rate and burst in every time window.
 *
 * <p>A request is admitted between when it is sent and when the engine queues it. A window that contains both times
 * also contains the admission, so the tokens of such requests are within the rate and burst if the account is.
 * Stateless and safe for use by several threads.
 */
final class RateWindows {

    private static final int MAXIMUM_WINDOW_STARTS = 4000;
    private static final double MILLIS_PER_SECOND = 1000;

    private RateWindows() {}

    /**
     * The token use of a request that ran.
     *
     * @param fromMillis the earliest time at which the request may have been admitted, in milliseconds since the epoch
     * @param untilMillis the latest time at which the request may have been admitted, in milliseconds since the epoch
     * @param tokens the number of tokens used
     */
    record Usage(long fromMillis, long untilMillis, int tokens) {}

    static Optional<String> check(String account, double tokensPerSecond, double burst, List<Usage> usages) {
        List<Usage> usagesByEnd = new ArrayList<>(usages);
        usagesByEnd.sort(Comparator.comparingLong(Usage::untilMillis));
        int stride = Math.max(1, usages.size() / MAXIMUM_WINDOW_STARTS);
        for (int start = 0; start < usages.size(); start += stride) {
            long from = usages.get(start).fromMillis();
            long tokens = 0;
            for (Usage usage : usagesByEnd) {
                if (usage.fromMillis() < from) {
                    continue;
                }
                tokens += usage.tokens();
                // The times are whole milliseconds, so the actual window may be up to 1 ms longer.
                double allowedTokens = burst + tokensPerSecond * (usage.untilMillis() - from + 1) / MILLIS_PER_SECOND;
                if (tokens > allowedTokens) {
                    return Optional.of(String.format(
                            Locale.ROOT,
                            "%s got %d tokens within %d ms, where its rate and burst allow %.0f",
                            account,
                            tokens,
                            usage.untilMillis() - from + 1,
                            allowedTokens));
                }
            }
        }
        return Optional.empty();
    }
}
