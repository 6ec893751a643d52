package org.geraniumreach.coordination.budget;

import java.util.ArrayList;
import java.util.List;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the tokens admitted in every time window against the rates and bursts in effect. */
final class AdmittedTokens {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double ROUNDING_TOLERANCE = 1e-3;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final List<Admission> admissions = new ArrayList<>();
    private final List<RatePeriod> ratePeriods = new ArrayList<>();

    /** The tokens admitted at one time. */
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

    /** The maximum rate and burst used by any entry from a time on. */
    private record RatePeriod(long from, long rate, long burst) {}

    void addRatePeriod(long from, long rate, long burst) {
        ratePeriods.add(new RatePeriod(from, rate, burst));
    }

    void onAdmitted(long at, Grant grant) {
        admissions.add(new Admission(at, grant));
    }

    void onSettled(Grant grant, long actual) {
        admissions.stream()
                .filter(admission -> admission.grant == grant)
                .forEach(admission -> admission.tokens = actual);
    }

    int count() {
        return admissions.size();
    }

    /**
     * Asserts that no window exceeds rate and burst; finds the largest excess of all windows ending at an admission in
     * one pass.
     */
    void assertWithinRate() {
        double minimumAllowance = Double.MAX_VALUE;
        long windowStart = 0;
        long sum = 0;
        for (Admission admission : admissions) {
            double allowance = sum - inflowUntil(admission.at) + burstAt(admission.at);
            if (allowance < minimumAllowance) {
                minimumAllowance = allowance;
                windowStart = admission.at;
            }
            sum += admission.tokens;
            assertThat(sum - inflowUntil(admission.at) - minimumAllowance)
                    .as(
                            "tokens above rate and burst from %d ms to %d ms",
                            windowStart / NANOS_PER_MILLI, admission.at / NANOS_PER_MILLI)
                    .isLessThanOrEqualTo(ROUNDING_TOLERANCE);
        }
    }

    private double burstAt(long time) {
        double burst = 0;
        for (int index = 0; index < ratePeriods.size(); index++) {
            boolean ended =
                    index + 1 < ratePeriods.size() && ratePeriods.get(index + 1).from() < time;
            if (ratePeriods.get(index).from() <= time && !ended) {
                burst = Math.max(burst, ratePeriods.get(index).burst());
            }
        }
        return burst;
    }

    private double inflowUntil(long end) {
        double sum = 0;
        for (int index = 0; index < ratePeriods.size(); index++) {
            long from = ratePeriods.get(index).from();
            long until = index + 1 < ratePeriods.size()
                    ? Math.min(end, ratePeriods.get(index + 1).from())
                    : end;
            sum += Math.max(0, until - from)
                    / NANOS_PER_SECOND
                    * ratePeriods.get(index).rate();
        }
        return sum;
    }
}
