package org.geraniumreach.serving.residency;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * The loads of the other companions, as they tell each other.
 *
 * <p>Invariant: news older than the limit counts for nothing, so a companion that died in the middle of a load does not
 * hold the others' loads back. Safe for use by several threads.
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
     * Makes one that knows of no companion.
     *
     * @param clock the clock, not null
     * @param validFor how long news counts, positive
     * @return the loads, not null
     */
    public static FleetLoads create(MonotonicClock clock, Duration validFor) {
        if (validFor.isNegative() || validFor.isZero()) {
            throw new IllegalArgumentException("validFor is not positive: " + validFor);
        }
        return new FleetLoads(clock, validFor);
    }

    /**
     * Takes another companion's news in.
     *
     * @param target its target, not null
     * @param inTransit its loads in transit
     * @param waiting the adapters that it waits to load
     * @param waitingWork how urgent these are, as {@link Residency#waitingWork} tells
     */
    public void news(TargetId target, int inTransit, int waiting, long waitingWork) {
        reports.put(target, new LoadReport(inTransit, waiting, waitingWork, clock.nanos()));
    }

    /**
     * Forgets a companion that left.
     *
     * @param target its target, not null
     */
    public void remove(TargetId target) {
        reports.remove(target);
    }

    /**
     * Gets the loads that the others have in transit.
     *
     * @return the number
     */
    public int loadsInProgress() {
        long now = clock.nanos();
        int sum = 0;
        for (LoadReport news : reports.values()) {
            sum += now - news.receivedNanos <= reportValidNanos ? news.loadsInProgress : 0;
        }
        return sum;
    }

    /**
     * Counts the companions that have nothing in transit and wait for more urgent loads.
     *
     * @param waitingWork the urgency to compare with
     * @return the number
     */
    int countMoreUrgent(long waitingWork) {
        long now = clock.nanos();
        int count = 0;
        for (LoadReport news : reports.values()) {
            boolean counts = now - news.receivedNanos <= reportValidNanos && news.waitingLoads > 0 && news.loadsInProgress == 0;
            count += counts && news.waitingWorkNanos > waitingWork ? 1 : 0;
        }
        return count;
    }
}
