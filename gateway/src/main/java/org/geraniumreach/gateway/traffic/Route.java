package org.geraniumreach.gateway.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * What is done with the requests of a host whose paths begin alike.
 *
 * <p>Invariants: the prefix begins and ends with a slash, there is a destination, and the weights' sum is above zero.
 * Immutable and safe for use by several threads.
 *
 * @param name the operator's name for it
 * @param host the host that callers name, in lower case
 * @param prefix what the path begins with
 * @param destinations the services that may run its requests
 * @param repeatRule what may be sent again
 * @param timeout how long a caller may be kept waiting
 * @param objective within which an answer, or a stream's first event, is wanted
 * @param maximumTargets the targets on which one attempt of a caller may run
 * @param priority the rank, 0 first
 * @param open whether no key is needed
 */
public record Route(
        String name,
        String host,
        String prefix,
        List<Destination> destinations,
        RepeatRule repeatRule,
        Duration timeout,
        Duration objective,
        int maximumTargets,
        int priority,
        boolean open) {

    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(repeatRule, "repeatRule");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(objective, "objective");
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
     * @param weight its part of the requests, 0 for none
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
     * Chooses the service for a request.
     *
     * @param draw a number from 0 to below 1 that is drawn for the request
     * @return the service's name, not null
     */
    public String service(double draw) {
        int sum = destinations.stream().mapToInt(Destination::weight).sum();
        double left = draw * sum;
        for (Destination destination : destinations) {
            left -= destination.weight();
            if (left < 0) {
                return destination.service();
            }
        }
        return destinations.get(destinations.size() - 1).service();
    }

    /**
     * Gets the longest time that a request may take.
     *
     * @param patience how long its caller waits, not null
     * @return that, or the route's time limit if that is shorter, not null
     */
    public Duration longest(Duration patience) {
        return patience.compareTo(timeout) < 0 ? patience : timeout;
    }
}
