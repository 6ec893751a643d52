package org.geraniumreach.gateway.adapter;

import java.time.Duration;

/**
 * How many adapters this entry has targets fetch from the weight store at the same time.
 *
 * <p>The load it answers: the weight store serves a few fetches of all targets together at full speed, and slows all of them in
 * proportion beyond. Without a limit every target fetches as many as it may; each fetch then takes over a second, requests give up on
 * the target that fetches and have another one fetch the same adapter, and most of what is fetched serves nobody. How many the
 * weight store serves is not told, and the other entries' fetches are not known, so the limit is found as a congestion window
 * is: it grows while fetches take about the least time seen, and shrinks when they take longer. Entries that share a weight
 * store find their parts of it without talking.
 *
 * <p>Invariant: the window is at least one, so a slow weight store never stops fetches. Confined to the event loop.
 */
public final class FetchWindow {

    /**
     * Entries start together, and the least time that they see first is what they go by: with 4 entries the weight store's 8 at
     * full speed are met, and with 6 fetches take half more. With 4 each, 6 entries never saw full speed, and the median stayed at
     * 977 ms in the shared weight store of FetchWindowTest.
     */
    private static final double FIRST = 2;

    private static final double LEAST = 1;

    /** No more than a site's targets together may fetch; keeps the window from growing without end while it is not used. */
    private static final double MOST = 64;

    /** Polls come 25 ms apart, a tenth of a fetch; beyond half more the weight store is shared with too many. */
    private static final double SLOW = 1.5;

    private static final double SHRINK = 0.8;
    private static final double SMOOTHING = 0.2;

    /**
     * What a fetch takes at full speed at the users' sites. One that took less came from the target's own memory, of which a
     * new holder does not know; taken for the weight store's speed it would shrink the window to one for good.
     */
    private static final Duration FULL_SPEED = Duration.ofMillis(250);

    private double window = FIRST;
    private int underWay;
    private double leastNanos = Double.MAX_VALUE;
    private double typicalNanos = FULL_SPEED.toNanos();
    private long shrunkAt = Long.MIN_VALUE;

    /**
     * Queries whether one more fetch may begin.
     *
     * @return true if it may
     */
    public boolean isOpen() {
        return underWay < (int) window;
    }

    /** Notes that a fetch has begun. */
    public void began() {
        underWay++;
    }

    /** Notes that nobody looks after a fetch any more; it tells nothing of the weight store's speed. */
    public void abandoned() {
        underWay--;
    }

    /**
     * Notes that a fetch has ended.
     *
     * @param took how long it took, not null
     * @param now the time
     */
    public void ended(Duration took, long now) {
        boolean full = !isOpen();
        underWay--;
        leastNanos = Math.min(leastNanos, Math.max(FULL_SPEED.toNanos(), took.toNanos()));
        typicalNanos += SMOOTHING * (took.toNanos() - typicalNanos);
        if (took.toNanos() > SLOW * leastNanos) {
            shrink(now);
        } else if (full) {
            window = Math.min(MOST, window + 1 / window);
        }
    }

    /** The fetches under way at the same time are slow for one reason, so the window shrinks once for all of them. */
    private void shrink(long now) {
        if (shrunkAt != Long.MIN_VALUE && now - shrunkAt < typicalNanos) {
            return;
        }
        shrunkAt = now;
        window = Math.max(LEAST, window * SHRINK);
    }

    /**
     * Estimates how long a fetch takes now.
     *
     * @return the smoothed time of the last fetches, not null
     */
    public Duration typical() {
        return Duration.ofNanos((long) typicalNanos);
    }

    int size() {
        return (int) window;
    }

    int underWay() {
        return underWay;
    }
}
