package org.geraniumreach.gateway.request;

import java.time.Duration;

/**
 * The times and limits of an exchange.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param loadWaitTimeFraction the part of the caller's time for which a request may wait for an adapter
 * @param loadWaitObjectiveFactor the objectives of its route for which a request may wait for an adapter
 * @param minimumLoadWait what it may wait in any case, however short the objective
 * @param maximumLoadWait the longest wait for an adapter
 * @param placementRetryPeriod how long after its arrival a request waits for somebody who can have its adapter loaded
 * @param placementRetryInterval how often a waiting request looks for a target again
 * @param slowLoadThreshold how long a load at one target is waited for before another one is asked
 * @param maximumDeferral how long after its arrival a request may be held back so that prompts do not clump
 * @param firstEventTimeout the silence before a stream's first event after which one that may be resumed goes elsewhere
 * @param nextEventTimeout the silence within a stream after which one that may be resumed goes elsewhere
 * @param silenceTimeFraction the part of the caller's time after which a silent idempotent request goes elsewhere
 * @param maximumIdleForSingleRun the longest time that a connection may have been idle to carry a request that may run once only
 * @param maximumIdleForRepeatable the longest time that a connection may have been idle to carry any other
 * @param maximumSends the most times that a request is sent to a target
 * @param minimumRemaining the time below which a request is not sent any more
 */
public record ExchangeSettings(
        double loadWaitTimeFraction,
        double loadWaitObjectiveFactor,
        Duration minimumLoadWait,
        Duration maximumLoadWait,
        Duration placementRetryPeriod,
        Duration placementRetryInterval,
        Duration slowLoadThreshold,
        Duration maximumDeferral,
        Duration firstEventTimeout,
        Duration nextEventTimeout,
        double silenceTimeFraction,
        Duration maximumIdleForSingleRun,
        Duration maximumIdleForRepeatable,
        int maximumSends,
        Duration minimumRemaining) {

    private static final double LOAD_WAIT_TIME_FRACTION = 0.35;

    /** Callers leave a stream that shows nothing for two seconds or four objectives; who is refused before may come back. */
    private static final double LOAD_WAIT_OBJECTIVE_FACTOR = 3.6;

    private static final Duration MINIMUM_LOAD_WAIT = Duration.ofMillis(1_800);

    /** A cold start, in which a target fills all its places, takes less. */
    private static final Duration MAXIMUM_LOAD_WAIT = Duration.ofSeconds(3);

    /** Entries that have just started take targets up 0.6 s after they know them. */
    private static final Duration PLACEMENT_RETRY_PERIOD = Duration.ofSeconds(1);

    private static final Duration PLACEMENT_RETRY_INTERVAL = Duration.ofMillis(150);

    /**
     * Several times a fetch, since some are ahead of it on a heavy day. Asking the next target sooner puts the request at the end of
     * another queue and has the adapter fetched twice.
     */
    private static final Duration SLOW_LOAD_THRESHOLD = Duration.ofMillis(1_500);

    /** Leaves enough of most objectives for the prompt itself and some others ahead of it. */
    private static final Duration MAXIMUM_DEFERRAL = Duration.ofMillis(350);

    /** Before callers leave a stream that has not begun, with time for a second start. */
    private static final Duration FIRST_EVENT_TIMEOUT = Duration.ofMillis(1_500);

    private static final Duration NEXT_EVENT_TIMEOUT = Duration.ofMillis(1_200);
    private static final double SILENCE_TIME_FRACTION = 0.4;

    /**
     * A connection that broke while it was idle fails the request, which then cannot be sent again; targets tell how long they keep
     * one, and a close that was seen is heeded.
     */
    private static final Duration MAXIMUM_IDLE_FOR_SINGLE_RUN = Duration.ofSeconds(4);

    private static final Duration MAXIMUM_IDLE_FOR_REPEATABLE = Duration.ofSeconds(10);
    private static final int MAXIMUM_SENDS = 4;
    private static final Duration MINIMUM_REMAINING = Duration.ofMillis(20);

    /**
     * Tells how long a request may wait for its adapter.
     *
     * @param limit the time that the request may take, not null
     * @param objective the objective of its route, not null
     * @return the longest wait, not null
     */
    public Duration longestLoadWait(Duration limit, Duration objective) {
        Duration untilCallerLeaves = longer(minimumLoadWait, times(objective, loadWaitObjectiveFactor));
        return shorter(maximumLoadWait, shorter(times(limit, loadWaitTimeFraction), untilCallerLeaves));
    }

    private static Duration times(Duration duration, double factor) {
        return Duration.ofNanos((long) (duration.toNanos() * factor));
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) <= 0 ? one : other;
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /**
     * Obtains the defaults.
     *
     * @return the settings, not null
     */
    public static ExchangeSettings defaults() {
        return new ExchangeSettings(
                LOAD_WAIT_TIME_FRACTION,
                LOAD_WAIT_OBJECTIVE_FACTOR,
                MINIMUM_LOAD_WAIT,
                MAXIMUM_LOAD_WAIT,
                PLACEMENT_RETRY_PERIOD,
                PLACEMENT_RETRY_INTERVAL,
                SLOW_LOAD_THRESHOLD,
                MAXIMUM_DEFERRAL,
                FIRST_EVENT_TIMEOUT,
                NEXT_EVENT_TIMEOUT,
                SILENCE_TIME_FRACTION,
                MAXIMUM_IDLE_FOR_SINGLE_RUN,
                MAXIMUM_IDLE_FOR_REPEATABLE,
                MAXIMUM_SENDS,
                MINIMUM_REMAINING);
    }
}
