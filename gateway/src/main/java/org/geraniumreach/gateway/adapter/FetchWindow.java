package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.Optional;

/**
 * Limits the concurrent fetches from the weight store by the targets that this entry owns.
 *
 * <p>Intended for a weight store that serves a limited number of fetches at full speed, counted over all targets, and slows all of
 * them in proportion beyond it. Neither that number nor the other entries' fetches are known, so the window is set by delay-based
 * congestion control: if fetches take twice the base time, half as many would have the same throughput. Each entry aims at
 * {@link #EXCESS_FETCHES} more than that, which makes the windows of all entries converge and keeps the weight store busy.
 *
 * <p>Invariant: the window is at least one, so a slow weight store never stops fetches. Confined to the event loop.
 */
public final class FetchWindow {

    private static final double INITIAL_WINDOW = 1;
    private static final double MIN_WINDOW = 1;

    /** Bounds the window if the weight store is never the bottleneck. */
    private static final double MAX_WINDOW = 64;

    /** Fetches that one entry keeps in flight beyond its share of what the weight store serves at full speed. */
    private static final double EXCESS_FETCHES = 0.75;

    /** Fraction of the difference to the desired window that is applied per window of fetches. */
    private static final double GAIN = 0.5;

    /** The weight store counts as uncongested up to this slowdown; fetches are polled about every 25 ms, so times are inexact. */
    private static final double MAX_UNCONGESTED_SLOWDOWN = 1.2;

    private final FetchTimes fetchTimes = new FetchTimes();
    private double window = INITIAL_WINDOW;
    private int inFlight;

    /**
     * Returns whether another fetch may start.
     *
     * @return true if it may
     */
    public boolean isOpen() {
        return inFlight < (int) window;
    }

    /** Counts a fetch that has started. */
    public void onFetchStarted() {
        inFlight++;
    }

    /** Removes a fetch that is not tracked to its end, without using its time. */
    public void onFetchAbandoned() {
        inFlight--;
    }

    /**
     * Removes a fetch that has ended and adjusts the window.
     *
     * @param duration the time that the fetch took, not null
     */
    public void onFetchEnded(Duration duration) {
        boolean full = !isOpen();
        inFlight--;
        fetchTimes.add(duration);
        double slowdown = fetchTimes.slowdown();
        if (slowdown > MAX_UNCONGESTED_SLOWDOWN) {
            double desired = window / slowdown + EXCESS_FETCHES;
            adjust((desired - window) * GAIN, full);
        } else {
            adjust(1, full);
        }
    }

    /** The window only grows while it is full, since otherwise the effect of more fetches is unknown. */
    private void adjust(double changePerWindow, boolean full) {
        if (changePerWindow > 0 && !full) {
            return;
        }
        window = Math.min(MAX_WINDOW, Math.max(MIN_WINDOW, window + changePerWindow / window));
    }

    /**
     * Returns the estimated time of a fetch that is not slowed by others.
     *
     * @return the time, or empty if no fetch has ended yet, not null
     */
    public Optional<Duration> baseFetchTime() {
        return fetchTimes.baseTime();
    }

    int size() {
        return (int) window;
    }

    int inFlight() {
        return inFlight;
    }
}
