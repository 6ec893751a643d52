/**
 * The choice of a target for a request, at an entry.
 *
 * <p>Use: keep one {@link org.geraniumreach.serving.routing.FleetView}; call {@code join} when the link to a companion
 * opens and its target's record is known, {@code apply} with each Status frame, {@code leave} when the link is given up or
 * the target leaves. Make one {@link org.geraniumreach.serving.routing.Router} from a {@link
 * org.geraniumreach.serving.routing.RoutingPolicy}. For each request: {@code route}, then {@code FleetView.sent} and keep
 * the {@link org.geraniumreach.serving.routing.Sending}; call {@code accepted} on it with the Accepted frame and {@code
 * ended} at the attempt's end, whatever it was. For another try, route again with the tried targets excluded.
 */
package org.geraniumreach.serving.routing;
