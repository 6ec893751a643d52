package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.traffic.Route;

/**
 * Estimates how long requests may take at the most, from the slowest of the recent requests of their routes.
 *
 * <p>Intended for decisions that lose little if a request is taken for slower than it is, and much in the opposite case. The time before the
 * first part and the time for each token that a request may generate are estimated apart, since streams of one route differ in length.
 *
 * <p>Invariant: an estimate is never above the limit of its request, and equal to it until enough requests of the route have ended.
 * Confined to the event loop.
 */
final class AnswerTimes {

    static final int MINIMUM_REQUESTS = 20;

    /** The slowest of the last one to two periods counts. */
    private static final int REQUESTS_PER_PERIOD = 100;

    /** The factor by which a request may take longer than the slowest of the recent ones. */
    private static final double MARGIN = 1.5;

    private final Map<String, RouteTimes> timesByRoute = new HashMap<>();

    /** The slowest of the recent requests of one route, in nanoseconds. */
    private static final class RouteTimes {
        private final RecentMaximum firstPart = new RecentMaximum();
        private final RecentMaximum perToken = new RecentMaximum();
        private int requests;
    }

    /** The highest of the recent values. */
    private static final class RecentMaximum {
        private double earlier;
        private double latest;
        private int count;

        private void add(double value) {
            if (count == REQUESTS_PER_PERIOD) {
                earlier = latest;
                latest = 0;
                count = 0;
            }
            latest = Math.max(latest, value);
            count++;
        }

        private double value() {
            return Math.max(earlier, latest);
        }
    }

    /**
     * Records a request that was sent to a target and has ended.
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
        times.requests = Math.min(times.requests + 1, MINIMUM_REQUESTS);
    }

    /**
     * Estimates the longest time that a request may take.
     *
     * @param route the route
     * @param generation what the request generates, empty if nothing
     * @param limit the time after which the request ends in any case
     * @return the time, at most the limit
     */
    Duration longest(Route route, Optional<GatewayRequest.Generation> generation, Duration limit) {
        RouteTimes times = timesByRoute.get(route.name());
        if (times == null || times.requests < MINIMUM_REQUESTS) {
            return limit;
        }
        double nanos = MARGIN * (times.firstPart.value() + tokens(generation) * times.perToken.value());
        return nanos < limit.toNanos() ? Duration.ofNanos((long) nanos) : limit;
    }

    private static long tokens(Optional<GatewayRequest.Generation> generation) {
        return Math.max(
                1, generation.map(GatewayRequest.Generation::maximumTokens).orElse(1L));
    }
}
