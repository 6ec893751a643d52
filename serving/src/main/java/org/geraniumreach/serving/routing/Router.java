package org.geraniumreach.serving.routing;

import java.util.Optional;

/**
 * Chooses a target for a request.
 *
 * <p>Contract: never chooses a target that is draining, rejected by the filter or excluded by the request.
 * Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface Router {

    /**
     * Chooses a target.
     *
     * @param request the request, not null
     * @return the route, or empty if no target is allowed or the hop limit is reached
     */
    Optional<Route> route(RouteRequest request);
}
