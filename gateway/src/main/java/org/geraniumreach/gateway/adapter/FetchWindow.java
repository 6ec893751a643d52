package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.Optional;

/**
 * How many adapters this entry has targets fetch from the weight store at the same time.
 *
 * <p>Intended for a weight store that serves a few fetches of all targets together at full speed and slows all of them in proportion
 * beyond. Neither that number nor the other entries' fetches are known, so the limit is found by delay-based congestion control: a
 * round of fetches that takes twice the undisturbed time shows that half of them would have done. Each entry aims at
 * {@link #EXCESS_FETCHES} fetches more than that, which makes the windows of all entries converge and keeps the weight store busy.
 *
 * <p>Invariant: the window is at least one, so a slow weight store never stops fetches. Confined to the event loop.
 */
public final class FetchWindow {

    private static final double INITIAL_WINDOW = 1;
    private static final double MIN_WINDOW = 1;

    /** Keeps the window from growing without end where the weight store is never the limit. */
    private static final double MAX_WINDOW = 64;

    /** The fetches that one entry keeps under way beyond its part of what the weight store serves at full speed. */
    private static final double EXCESS_FETCHES = 0.75;

    /** Part of the way to the window aimed at that one round of fetches goes. */
    private static final double GAIN = 0.5;

    /** Below this many times the undisturbed time nobody waits for the weight store; looks at fetches come some 25 ms apart. */
    private static final double MAX_UNCONGESTED_SLOWDOWN = 1.2;

    private final FetchTimes fetchTimes = new FetchTimes();
    private double window = INITIAL_WINDOW;
    private int inFlight;

    /**
     * Queries whether one more fetch may begin.
     *
     * @return true if it may
     */
    public boolean isOpen() {
        return inFlight < (int) window;
    }

    /** Notes that a fetch has begun. */
    public void onFetchStarted() {
        inFlight++;
    }

    /** Notes that nobody looks after a fetch any more; it tells nothing of the weight store's speed. */
    public void onFetchAbandoned() {
        inFlight--;
    }

    /**
     * Notes that a fetch has ended.
     *
     * @param took how long it took, not null
     */
    public void onFetchEnded(Duration took) {
        boolean full = !isOpen();
        inFlight--;
        fetchTimes.add(took);
        double slowness = fetchTimes.slowdown();
        if (slowness > MAX_UNCONGESTED_SLOWDOWN) {
            double aim = window / slowness + EXCESS_FETCHES;
            adjust((aim - window) * GAIN, full);
        } else {
            adjust(1, full);
        }
    }

    /** A window that is not used up says nothing of what more fetches would do, so it does not grow. */
    private void adjust(double perRound, boolean full) {
        if (perRound > 0 && !full) {
            return;
        }
        window = Math.min(MAX_WINDOW, Math.max(MIN_WINDOW, window + perRound / window));
    }

    /**
     * Estimates how long a fetch takes that need not wait for others.
     *
     * @return the time, or empty if no fetch has ended yet
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
