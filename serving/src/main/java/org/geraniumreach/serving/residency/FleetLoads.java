package org.geraniumreach.serving.residency;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * The adapter loads that the other companions report.
 *
 * <p>Invariant: reports older than the limit are ignored, so a companion that crashed during a load does not block the
 * loads of others. Safe for use by several threads.
 */
public final class FleetLoads {

    private final MonotonicClock clock;
    private final long reportValidNanos;
    private final Map<TargetId, LoadReport> reports = new ConcurrentHashMap<>();

    private FleetLoads(MonotonicClock clock, Duration validFor) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.reportValidNanos = validFor.toNanos();
    }

    private record LoadReport(int loadsInProgress, int waitingLoads, long waitingWorkNanos, long receivedNanos) {}

    /**
     * Creates an instance without reports.
     *
     * @param clock the clock, not null
     * @param validFor how long a report is valid, positive
     * @return the loads, not null
     */
    public static FleetLoads create(MonotonicClock clock, Duration validFor) {
        if (validFor.isNegative() || validFor.isZero()) {
            throw new IllegalArgumentException("validFor is not positive: " + validFor);
        }
        return new FleetLoads(clock, validFor);
    }

    /**
     * Stores the latest report of another companion.
     *
     * @param target the companion's target, not null
     * @param loadsInProgress the number of its loads in progress
     * @param waitingLoads the number of adapters waiting to be loaded there
     * @param waitingWorkNanos the urgency of these loads, as returned by {@link Residency#waitingWorkNanos}
     */
    public void onReport(TargetId target, int loadsInProgress, int waitingLoads, long waitingWorkNanos) {
        reports.put(target, new LoadReport(loadsInProgress, waitingLoads, waitingWorkNanos, clock.nanos()));
    }

    /**
     * Removes a companion that left.
     *
     * @param target the companion's target, not null
     */
    public void remove(TargetId target) {
        reports.remove(target);
    }

    /**
     * Gets the number of loads in progress at the other companions.
     *
     * @return the number
     */
    public int loadsInProgress() {
        long now = clock.nanos();
        int sum = 0;
        for (LoadReport report : reports.values()) {
            sum += now - report.receivedNanos <= reportValidNanos ? report.loadsInProgress : 0;
        }
        return sum;
    }

    /**
     * Counts the companions that have no load in progress and wait for more urgent loads.
     *
     * @param waitingWorkNanos the urgency to compare with, as returned by {@link Residency#waitingWorkNanos}
     * @return the number
     */
    int countMoreUrgent(long waitingWorkNanos) {
        long now = clock.nanos();
        int count = 0;
        for (LoadReport report : reports.values()) {
            boolean isWaiting = now - report.receivedNanos <= reportValidNanos
                    && report.waitingLoads > 0
                    && report.loadsInProgress == 0;
            count += isWaiting && report.waitingWorkNanos > waitingWorkNanos ? 1 : 0;
        }
        return count;
    }
}
