package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.speed.RecentQuantile;
import org.geraniumreach.gateway.traffic.Route;

/**
 * Estimates how long requests may take, from a high quantile of what the recent requests of their routes took.
 *
 * <p>Intended for decisions on whether a request ends in time, before it is sent. The time before the first part and the time for each
 * token that a request may generate are estimated apart, since streams of one route differ in length.
 *
 * <p>Invariant: an estimate is never above the limit of its request, and equal to it until enough requests of the route have ended.
 * Confined to the event loop.
 */
final class AnswerTimes {

    static final int MINIMUM_REQUESTS = 20;

    /** The number of recent requests that count. */
    private static final int WINDOW = 200;

    /** The share of the recent requests that took at most as long as the estimate. */
    private static final double QUANTILE = 0.95;

    private final Map<String, RouteTimes> timesByRoute = new HashMap<>();

    /** The times of the recent requests of one route, in nanoseconds. */
    private static final class RouteTimes {
        private final RecentQuantile firstPart = new RecentQuantile(QUANTILE, WINDOW);
        private final RecentQuantile perToken = new RecentQuantile(QUANTILE, WINDOW);
    }

    /**
     * Records a request that a target has completed.
     *
     * @param route the route
     * @param generation what the request generates, empty if nothing
     * @param firstPart the time from the receipt to the first part of the answer, empty if there was none
     * @param total the time from the receipt to the end
     */
    void record(
            Route route, Optional<GatewayRequest.Generation> generation, Optional<Duration> firstPart, Duration total) {
        RouteTimes times = timesByRoute.computeIfAbsent(route.name(), unused -> new RouteTimes());
        Duration before = firstPart.orElse(total);
        times.firstPart.add(before.toNanos());
        times.perToken.add((double) total.minus(before).toNanos() / tokens(generation));
    }

    /**
     * Records a request that was sent to a target and was not completed, so that it would have taken longer; it counts only if it has
     * already taken longer than it was estimated to.
     *
     * @param route the route
     * @param generation what the request generates, empty if nothing
     * @param firstPart the time from the receipt to the first part of the answer, empty if there was none
     * @param total the time from the receipt to the end
     */
    void recordIncomplete(
            Route route, Optional<GatewayRequest.Generation> generation, Optional<Duration> firstPart, Duration total) {
        if (total.compareTo(estimate(route, generation, total)) > 0) {
            record(route, generation, firstPart, total);
        }
    }

    /**
     * Estimates the time that a request may take.
     *
     * @param route the route
     * @param generation what the request generates, empty if nothing
     * @param limit the time after which the request ends in any case
     * @return the time, at most the limit
     */
    Duration estimate(Route route, Optional<GatewayRequest.Generation> generation, Duration limit) {
        RouteTimes times = timesByRoute.get(route.name());
        if (times == null || times.firstPart.size() < MINIMUM_REQUESTS) {
            return limit;
        }
        double nanos = times.firstPart.get() + tokens(generation) * times.perToken.get();
        return nanos < limit.toNanos() ? Duration.ofNanos((long) nanos) : limit;
    }

    private static long tokens(Optional<GatewayRequest.Generation> generation) {
        return Math.max(
                1, generation.map(GatewayRequest.Generation::maximumTokens).orElse(1L));
    }
}
