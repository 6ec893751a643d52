/**
 * Routing: the choice of a target for a request, at an entry.
 *
 * <p>Use: keep one {@link org.geraniumreach.serving.routing.FleetView}; call {@code join} when the link to a companion
 * opens and its target's record is known, {@code apply} with each Status frame, {@code leave} when the link is given up
 * or the target leaves. Create one {@link org.geraniumreach.serving.routing.Router} from a {@link
 * org.geraniumreach.serving.routing.RoutingPolicy}. For each request, call {@code route}, then {@link
 * org.geraniumreach.serving.routing.FleetView#recordSent} and keep the {@link org.geraniumreach.serving.routing.SentRequest},
 * which must be notified of the Accepted frame and of the end of the attempt, whether it succeeded or not. For a retry,
 * route again with the tried targets excluded.
 */
package org.geraniumreach.serving.routing;
