package org.geraniumreach.gateway.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.traffic.Route;

/**
 * Estimates how many tokens requests will generate, from the streams that were answered on the same route.
 *
 * <p>Confined to the event loop.
 */
final class OutputLengths {

    /** Engines send this many tokens with each event of a stream. */
    private static final int TOKENS_PER_EVENT = 4;

    /** Weight of the newest stream in the mean, which then follows the last 20 streams or so. */
    private static final double NEWEST_WEIGHT = 0.05;

    private final Map<String, Double> meanTokensByRoute = new HashMap<>();

    /**
     * Estimates the tokens that a request will generate.
     *
     * @return the caller's hint, else the mean of the route, at most the stated maximum, which is used without either; 0 for a
     *         request that generates nothing
     */
    long expectedTokens(Route route, Optional<GatewayRequest.Generation> generation) {
        if (generation.isEmpty()) {
            return 0;
        }
        long maximum = generation.get().maximumTokens();
        OptionalLong hint = generation.get().lengthHint();
        long estimate = hint.orElseGet(() -> meanTokens(route).orElse(maximum));
        return Math.min(maximum, estimate);
    }

    private OptionalLong meanTokens(Route route) {
        Double mean = meanTokensByRoute.get(route.name());
        return mean == null ? OptionalLong.empty() : OptionalLong.of(Math.round(mean));
    }

    /** Records the number of events of a stream that was answered completely; 0 for an answer that is not a stream. */
    void recordEvents(Route route, long events) {
        if (events > 0) {
            double tokens = (double) events * TOKENS_PER_EVENT;
            meanTokensByRoute.merge(route.name(), tokens, (mean, newest) -> mean + NEWEST_WEIGHT * (newest - mean));
        }
    }
}
