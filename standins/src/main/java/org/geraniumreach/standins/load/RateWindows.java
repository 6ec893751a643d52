package org.geraniumreach.standins.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Holds what ran for an account against its rate and burst, in every window.
 *
 * <p>A request is let through at some time between its sending and the engine's taking it. A window that holds both holds
 * that time, so the tokens of such requests are within rate and burst if the account is. Stateless and safe for use by
 * several threads.
 */
final class RateWindows {

    private static final int MAXIMUM_WINDOW_STARTS = 4000;
    private static final double MILLIS_PER_SECOND = 1000;

    private RateWindows() {}

    /**
     * A request that ran.
     *
     * @param fromMillis the earliest time at which it may have been let through
     * @param untilMillis the latest
     * @param tokens what it used
     */
    record Usage(long fromMillis, long untilMillis, int tokens) {}

    static Optional<String> check(String account, double tokensPerSecond, double burst, List<Usage> uses) {
        List<Usage> byEnd = new ArrayList<>(uses);
        byEnd.sort(Comparator.comparingLong(Usage::untilMillis));
        int stride = Math.max(1, uses.size() / MAXIMUM_WINDOW_STARTS);
        for (int start = 0; start < uses.size(); start += stride) {
            long from = uses.get(start).fromMillis();
            long tokens = 0;
            for (Usage use : byEnd) {
                if (use.fromMillis() < from) {
                    continue;
                }
                tokens += use.tokens();
                // The times are whole milliseconds, so the window may be one longer.
                double allowed = burst + tokensPerSecond * (use.untilMillis() - from + 1) / MILLIS_PER_SECOND;
                if (tokens > allowed) {
                    return Optional.of(String.format(
                            Locale.ROOT,
                            "%s got %d tokens within %d ms, where its rate and burst allow %.0f",
                            account,
                            tokens,
                            use.untilMillis() - from + 1,
                            allowed));
                }
            }
        }
        return Optional.empty();
    }
}
