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
                0.35,
                // Callers leave a stream that shows nothing for two seconds or four objectives. Who is refused before
                // may come back.
                3.6,
                Duration.ofMillis(1_800),
                // Above all loads of a cold start: 19 places, four at a time, 250 ms each.
                Duration.ofSeconds(3),
                // Entries that have just started take targets up 0.6 s after they know them.
                Duration.ofSeconds(1),
                Duration.ofMillis(150),
                // A fetch takes 250 to 500 ms and some are ahead of it on a heavy day. Asking the next target sooner
                // puts the
                // request at the end of another queue and has the adapter fetched twice.
                Duration.ofMillis(1_500),
                // With 76 ms to read a prompt and 250 ms for others ahead, the objective of 800 ms still holds.
                Duration.ofMillis(350),
                // Callers leave a stream after 3.2 s without an event; this leaves time for a second start.
                Duration.ofMillis(1_500),
                Duration.ofMillis(1_200),
                0.4,
                // A connection that broke while it was idle fails the request, which then cannot be sent again; targets
                // tell how long they keep one, and a close that was seen is heeded.
                Duration.ofSeconds(4),
                Duration.ofSeconds(10),
                4,
                Duration.ofMillis(20));
    }
}
