package org.geraniumreach.gateway.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * The handling of requests for one host whose paths have a common prefix.
 *
 * <p>Invariants: the prefix starts and ends with a slash, there is at least one destination, and the sum of weights is above
 * zero. Immutable and safe for use by several threads.
 *
 * @param name the route's name, given by the operator
 * @param host the host named in requests, in lower case
 * @param prefix the prefix of the paths
 * @param destinations the services that may run the requests
 * @param retryPolicy whether requests may be sent again
 * @param timeout the maximum time that a request may take
 * @param latencyObjective the time within which an answer, or the first event of a stream, should arrive
 * @param maximumTargets the maximum number of targets that may run one request of a caller
 * @param priority the priority of the requests, 0 is the highest
 * @param anonymous whether requests need no key
 */
public record Route(
        String name,
        String host,
        String prefix,
        List<Destination> destinations,
        RetryPolicy retryPolicy,
        Duration timeout,
        Duration latencyObjective,
        int maximumTargets,
        int priority,
        boolean anonymous) {

    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(retryPolicy, "retryPolicy");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(latencyObjective, "latencyObjective");
        destinations = List.copyOf(destinations);
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException("prefix without a slash at both ends: " + prefix);
        }
        if (destinations.stream().mapToInt(Destination::weight).sum() <= 0) {
            throw new IllegalArgumentException("no destination with a weight: " + name);
        }
    }

    /**
     * A service that may run a route's requests.
     *
     * @param service the service's name
     * @param weight the relative number of requests that it receives, 0 for none
     */
    public record Destination(String service, int weight) {

        public Destination {
            Objects.requireNonNull(service, "service");
            if (weight < 0) {
                throw new IllegalArgumentException("negative weight: " + weight);
            }
        }
    }

    /**
     * Chooses the service for a request at random by weight.
     *
     * @param randomFraction a random number drawn for the request, from 0 inclusive to 1 exclusive
     * @return the service's name, not null
     */
    public String chooseService(double randomFraction) {
        int totalWeight = destinations.stream().mapToInt(Destination::weight).sum();
        double remaining = randomFraction * totalWeight;
        for (Destination destination : destinations) {
            remaining -= destination.weight();
            if (remaining < 0) {
                return destination.service();
            }
        }
        return destinations.get(destinations.size() - 1).service();
    }

    /**
     * Queries whether requests of this route may go to a service.
     *
     * @param service the service's name, not null
     * @return true if the service is a destination with a weight
     */
    public boolean leadsTo(String service) {
        return destinations.stream()
                .anyMatch(destination ->
                        destination.weight() > 0 && destination.service().equals(service));
    }

    /**
     * Gets the time that a request may take.
     *
     * @param callerTimeout how long the caller waits, not null
     * @return the shorter of the caller's and the route's timeout, not null
     */
    public Duration effectiveTimeout(Duration callerTimeout) {
        return callerTimeout.compareTo(timeout) < 0 ? callerTimeout : timeout;
    }
}
