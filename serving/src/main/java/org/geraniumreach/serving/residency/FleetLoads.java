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
    private final long validNanos;
    private final Map<TargetId, News> companions = new ConcurrentHashMap<>();

    private FleetLoads(MonotonicClock clock, Duration validFor) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.validNanos = validFor.toNanos();
    }

    private record News(int inTransit, int waiting, long waitingWork, long atNanos) {}

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
        companions.put(target, new News(inTransit, waiting, waitingWork, clock.nanos()));
    }

    /**
     * Forgets a companion that left.
     *
     * @param target its target, not null
     */
    public void forget(TargetId target) {
        companions.remove(target);
    }

    /**
     * Gets the loads that the others have in transit.
     *
     * @return the number
     */
    public int inTransit() {
        long now = clock.nanos();
        int sum = 0;
        for (News news : companions.values()) {
            sum += now - news.atNanos <= validNanos ? news.inTransit : 0;
        }
        return sum;
    }

    /**
     * Counts the companions that have nothing in transit and wait for more urgent loads.
     *
     * @param waitingWork the urgency to compare with
     * @return the number
     */
    int moreUrgent(long waitingWork) {
        long now = clock.nanos();
        int count = 0;
        for (News news : companions.values()) {
            boolean counts = now - news.atNanos <= validNanos && news.waiting > 0 && news.inTransit == 0;
            count += counts && news.waitingWork > waitingWork ? 1 : 0;
        }
        return count;
    }
}
