package org.geraniumreach.gateway.request;

import java.time.Duration;

/**
 * The times and limits of an exchange.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param loadWaitShare the part of the caller's time for which a request may wait for an adapter
 * @param loadWaitObjectives the objectives of its route for which a request may wait for an adapter
 * @param leastLoadWait what it may wait in any case, however short the objective
 * @param longestLoadWait the longest wait for an adapter
 * @param holderWait how long after its arrival a request waits for somebody who can have its adapter loaded
 * @param lookAgain how often a waiting request looks for a target again
 * @param slowLoad how long a load at one target is waited for before another one is asked
 * @param longestHold how long after its arrival a request may be held back so that prompts do not clump
 * @param silentStart the silence before a stream's first event after which one that may be resumed goes elsewhere
 * @param silentPause the silence within a stream after which one that may be resumed goes elsewhere
 * @param silentShare the part of the caller's time after which a silent idempotent request goes elsewhere
 * @param youngConnection the longest time that a connection may have been idle to carry a request that may run once only
 * @param keptConnection the longest time that a connection may have been idle to carry any other
 * @param mostArrivals the most times that a request is sent to a target
 * @param leastLeft the time below which a request is not sent any more
 */
public record ExchangeSettings(
        double loadWaitShare,
        double loadWaitObjectives,
        Duration leastLoadWait,
        Duration longestLoadWait,
        Duration holderWait,
        Duration lookAgain,
        Duration slowLoad,
        Duration longestHold,
        Duration silentStart,
        Duration silentPause,
        double silentShare,
        Duration youngConnection,
        Duration keptConnection,
        int mostArrivals,
        Duration leastLeft) {

    private static final double LOAD_WAIT_SHARE = 0.35;

    /** Callers leave a stream that shows nothing for two seconds or four objectives; who is refused before may come back. */
    private static final double LOAD_WAIT_OBJECTIVES = 3.6;

    private static final Duration LEAST_LOAD_WAIT = Duration.ofMillis(1_800);

    /** A cold start, in which a target fills all its places, takes less. */
    private static final Duration LONGEST_LOAD_WAIT = Duration.ofSeconds(3);

    /** Entries that have just started take targets up 0.6 s after they know them. */
    private static final Duration HOLDER_WAIT = Duration.ofSeconds(1);

    private static final Duration LOOK_AGAIN = Duration.ofMillis(150);

    /**
     * Several times a fetch, since some are ahead of it on a heavy day. Asking the next target sooner puts the request at the end of
     * another queue and has the adapter fetched twice.
     */
    private static final Duration SLOW_LOAD = Duration.ofMillis(1_500);

    /** Leaves enough of most objectives for the prompt itself and some others ahead of it. */
    private static final Duration LONGEST_HOLD = Duration.ofMillis(350);

    /** Before callers leave a stream that has not begun, with time for a second start. */
    private static final Duration SILENT_START = Duration.ofMillis(1_500);

    private static final Duration SILENT_PAUSE = Duration.ofMillis(1_200);
    private static final double SILENT_SHARE = 0.4;

    /**
     * A connection that broke while it was idle fails the request, which then cannot be sent again; targets tell how long they keep
     * one, and a close that was seen is heeded.
     */
    private static final Duration YOUNG_CONNECTION = Duration.ofSeconds(4);

    private static final Duration KEPT_CONNECTION = Duration.ofSeconds(10);
    private static final int MOST_ARRIVALS = 4;
    private static final Duration LEAST_LEFT = Duration.ofMillis(20);

    /**
     * Tells how long a request may wait for its adapter.
     *
     * @param limit the time that the request may take, not null
     * @param objective the objective of its route, not null
     * @return the longest wait, not null
     */
    public Duration longestLoadWait(Duration limit, Duration objective) {
        Duration untilCallerLeaves = longer(leastLoadWait, times(objective, loadWaitObjectives));
        return shorter(longestLoadWait, shorter(times(limit, loadWaitShare), untilCallerLeaves));
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
                LOAD_WAIT_SHARE,
                LOAD_WAIT_OBJECTIVES,
                LEAST_LOAD_WAIT,
                LONGEST_LOAD_WAIT,
                HOLDER_WAIT,
                LOOK_AGAIN,
                SLOW_LOAD,
                LONGEST_HOLD,
                SILENT_START,
                SILENT_PAUSE,
                SILENT_SHARE,
                YOUNG_CONNECTION,
                KEPT_CONNECTION,
                MOST_ARRIVALS,
                LEAST_LEFT);
    }
}
