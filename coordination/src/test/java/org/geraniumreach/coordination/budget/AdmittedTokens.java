package org.geraniumreach.coordination.budget;

import java.util.ArrayList;
import java.util.List;

import static org.assertj.core.api.Assertions.assertThat;

/** The oracle: what was admitted, in every window, against the rates in force. */
final class AdmittedTokens {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double ROUNDING = 1e-3;
    private static final long MILLI = 1_000_000;

    private final List<Admission> admissions = new ArrayList<>();
    private final List<Regime> regimes = new ArrayList<>();

    /** Tokens admitted at a time. */
    private static final class Admission {
        private final long at;
        private final Grant grant;
        private long tokens;

        private Admission(long at, Grant grant) {
            this.at = at;
            this.grant = grant;
            this.tokens = grant.tokens();
        }
    }

    /** The greatest rate and burst that any entry goes by, from a time on. */
    private record Regime(long from, long rate, long burst) {}

    void regime(long from, long rate, long burst) {
        regimes.add(new Regime(from, rate, burst));
    }

    void admitted(long at, Grant grant) {
        admissions.add(new Admission(at, grant));
    }

    void settled(Grant grant, long actual) {
        admissions.stream().filter(one -> one.grant == grant).forEach(one -> one.tokens = actual);
    }

    int count() {
        return admissions.size();
    }

    /** Checks every window: the greatest excess of those that end at an admission is found in one pass. */
    void check() {
        double least = Double.MAX_VALUE;
        long leastFrom = 0;
        long sum = 0;
        for (Admission admission : admissions) {
            double allowance = sum - inflowUntil(admission.at) + burstAt(admission.at);
            if (allowance < least) {
                least = allowance;
                leastFrom = admission.at;
            }
            sum += admission.tokens;
            assertThat(sum - inflowUntil(admission.at) - least)
                    .as("tokens above rate and burst from %d ms to %d ms", leastFrom / MILLI, admission.at / MILLI)
                    .isLessThanOrEqualTo(ROUNDING);
        }
    }

    private double burstAt(long time) {
        double burst = 0;
        for (int index = 0; index < regimes.size(); index++) {
            boolean over = index + 1 < regimes.size() && regimes.get(index + 1).from() < time;
            if (regimes.get(index).from() <= time && !over) {
                burst = Math.max(burst, regimes.get(index).burst());
            }
        }
        return burst;
    }

    private double inflowUntil(long end) {
        double sum = 0;
        for (int index = 0; index < regimes.size(); index++) {
            long from = regimes.get(index).from();
            long until = index + 1 < regimes.size()
                    ? Math.min(end, regimes.get(index + 1).from())
                    : end;
            sum += Math.max(0, until - from)
                    / NANOS_PER_SECOND
                    * regimes.get(index).rate();
        }
        return sum;
    }
}
