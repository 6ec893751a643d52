package org.geraniumreach.daemon.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The endpoints of an HTTP listener, by method and path.
 *
 * <p>A path's segments are matched one by one; a segment in braces, such as {@code {service}}, matches any single
 * segment and becomes a parameter of the call. Immutable and safe for use by several threads.
 */
public final class Routes {

    private static final Routes NONE = new Routes(List.of());

    private final List<Route> routes;

    private Routes(List<Route> routes) {
        this.routes = List.copyOf(routes);
    }

    private record Route(String method, String[] segments, Endpoint endpoint) {}

    /**
     * The endpoint that matches a request, with its path parameters.
     *
     * @param endpoint the endpoint
     * @param parameters the segments that matched the braces, in order
     */
    record Match(Endpoint endpoint, List<String> parameters) {}

    /**
     * Obtains routes without any endpoint.
     *
     * @return the routes, not null
     */
    public static Routes none() {
        return NONE;
    }

    /**
     * Gets a copy with one more endpoint.
     *
     * @param method the HTTP method, not null
     * @param path the path, beginning with a slash, not null
     * @param endpoint the endpoint, not null
     * @return the copy, not null
     */
    public Routes plus(String method, String path, Endpoint endpoint) {
        List<Route> more = new ArrayList<>(routes);
        more.add(new Route(method, path.split("/", -1), endpoint));
        return new Routes(more);
    }

    /**
     * Gets a copy with the endpoints of others after these.
     *
     * @param others the other routes, not null
     * @return the copy, not null
     */
    public Routes plus(Routes others) {
        List<Route> more = new ArrayList<>(routes);
        more.addAll(others.routes);
        return new Routes(more);
    }

    Optional<Match> find(String method, String path) {
        String[] segments = path.split("/", -1);
        for (Route route : routes) {
            if (!route.method().equals(method)) {
                continue;
            }
            Optional<List<String>> parameters = match(route.segments(), segments);
            if (parameters.isPresent()) {
                return Optional.of(new Match(route.endpoint(), parameters.get()));
            }
        }
        return Optional.empty();
    }

    private static Optional<List<String>> match(String[] pattern, String[] segments) {
        if (pattern.length != segments.length) {
            return Optional.empty();
        }
        List<String> parameters = new ArrayList<>();
        for (int index = 0; index < pattern.length; index++) {
            if (pattern[index].startsWith("{")) {
                parameters.add(segments[index]);
            } else if (!pattern[index].equals(segments[index])) {
                return Optional.empty();
            }
        }
        return Optional.of(parameters);
    }
}
