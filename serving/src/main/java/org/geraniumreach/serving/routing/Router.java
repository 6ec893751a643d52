package org.geraniumreach.serving.routing;

import java.util.Optional;

/**
 * Chooses a target for a request.
 *
 * <p>Contract: never a target that is draining, that the filter holds back, or that the request excludes. Implementations
 * are safe for use by several threads.
 */
@FunctionalInterface
public interface Router {

    /**
     * Chooses a target.
     *
     * @param request the request, not null
     * @return the choice, or empty if no target is left or the hops are spent
     */
    Optional<Route> route(RouteRequest request);
}
