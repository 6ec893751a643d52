package org.geraniumreach.gateway.request;

import java.time.Duration;

/**
 * The timeouts and limits of an exchange.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param loadWaitTimeFraction the fraction of the request's time limit for which it may wait for an adapter load
 * @param loadWaitObjectiveFactor the multiple of the route's objective for which a request may wait for an adapter load
 * @param minimumLoadWait the lower bound of the objective-based wait limit, for short objectives
 * @param maximumLoadWait the upper bound of any wait for an adapter load
 * @param placementRetryPeriod how long after receipt placement is retried while no target can take or load the request
 * @param placementRetryInterval the interval at which a waiting request is placed again
 * @param slowLoadThreshold how long to wait for a load at one target before another target is asked
 * @param maximumDeferral how long after receipt a request may be deferred to avoid bursts of prompts
 * @param firstEventTimeout the silence before the first event after which another target is sought for a resumable stream
 * @param nextEventTimeout the silence between events after which another target is sought for a resumable stream
 * @param silenceTimeFraction the fraction of the remaining time after which another target is sought for a silent
 *         idempotent request
 * @param maximumIdleForSingleRun the maximum idle time of a connection that is reused for a request that may run only
 *         once
 * @param maximumIdleForRepeatable the maximum idle time of a connection that is reused for any other request
 * @param maximumSends the maximum number of times that a request is sent
 * @param minimumRemaining the remaining time below which a request is not sent
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

    /** Callers abandon a silent stream after two seconds or four objectives; if refused earlier, they may retry. */
    private static final double LOAD_WAIT_OBJECTIVE_FACTOR = 3.6;

    private static final Duration MINIMUM_LOAD_WAIT = Duration.ofMillis(1_800);

    /** Longer than a cold start in which a target fills all its adapter slots. */
    private static final Duration MAXIMUM_LOAD_WAIT = Duration.ofSeconds(3);

    /** Entries that have just started claim targets 0.6 s after discovering them. */
    private static final Duration PLACEMENT_RETRY_PERIOD = Duration.ofSeconds(1);

    private static final Duration PLACEMENT_RETRY_INTERVAL = Duration.ofMillis(150);

    /**
     * Several times the duration of a fetch, since other fetches are queued before it under heavy load. Asking the
     * next target earlier puts the request at the end of another queue and fetches the adapter twice.
     */
    private static final Duration SLOW_LOAD_THRESHOLD = Duration.ofMillis(1_500);

    /** Leaves enough of most objectives for the prompt itself and some pending before it. */
    private static final Duration MAXIMUM_DEFERRAL = Duration.ofMillis(350);

    /**
     * Shorter than the time after which callers abandon a stream that has not begun, so that a second start fits in.
     */
    private static final Duration FIRST_EVENT_TIMEOUT = Duration.ofMillis(1_500);

    private static final Duration NEXT_EVENT_TIMEOUT = Duration.ofMillis(1_200);
    private static final double SILENCE_TIME_FRACTION = 0.4;

    /**
     * A connection that broke while idle fails the request, which then cannot be sent again. Targets announce their
     * idle timeout, and connections that were seen to close are not reused.
     */
    private static final Duration MAXIMUM_IDLE_FOR_SINGLE_RUN = Duration.ofSeconds(4);

    private static final Duration MAXIMUM_IDLE_FOR_REPEATABLE = Duration.ofSeconds(10);
    private static final int MAXIMUM_SENDS = 4;
    private static final Duration MINIMUM_REMAINING = Duration.ofMillis(20);

    /**
     * Computes how long a request may wait for its adapter load.
     *
     * @param timeLimit the time that the request may take in total, not null
     * @param objective the objective of its route, not null
     * @return the maximum wait, not null
     */
    public Duration loadWaitLimit(Duration timeLimit, Duration objective) {
        Duration untilCallerGivesUp = longer(minimumLoadWait, times(objective, loadWaitObjectiveFactor));
        return shorter(maximumLoadWait, shorter(times(timeLimit, loadWaitTimeFraction), untilCallerGivesUp));
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
     * Obtains the default settings.
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
