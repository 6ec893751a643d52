package org.geraniumreach.gateway.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AccountId;

/**
 * One complete version of the traffic configuration.
 *
 * <p>Invariant: if several routes of a host match a path, the one with the longest prefix is chosen. Immutable and safe for
 * use by several threads.
 */
public final class TrafficConfiguration {

    private final long version;
    private final CallerLimits limits;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Account> accountsByKey;
    private final Map<AccountId, Account> accounts;
    private final Map<String, ServiceDefinition> services;

    private TrafficConfiguration(
            long version,
            CallerLimits limits,
            List<Route> routes,
            Map<String, Account> accountsByKey,
            List<Account> accounts,
            List<ServiceDefinition> services) {
        this.version = version;
        this.limits = Objects.requireNonNull(limits, "limits");
        this.routesByHost = groupByHost(routes);
        this.accountsByKey = Map.copyOf(accountsByKey);
        Map<AccountId, Account> byId = new HashMap<>();
        accounts.forEach(account -> byId.put(account.id(), account));
        this.accounts = Map.copyOf(byId);
        Map<String, ServiceDefinition> byName = new HashMap<>();
        services.forEach(service -> byName.put(service.name(), service));
        this.services = Map.copyOf(byName);
    }

    /**
     * Obtains a configuration.
     *
     * @param version the operator's version number, which increases
     * @param limits the limits on callers' requests, not null
     * @param routes the routes, not null
     * @param accountsByKey the accounts by their keys, not null
     * @param accounts all client accounts, including those without a key, not null
     * @param services the services, not null
     * @return the configuration, not null
     */
    public static TrafficConfiguration of(
            long version,
            CallerLimits limits,
            List<Route> routes,
            Map<String, Account> accountsByKey,
            List<Account> accounts,
            List<ServiceDefinition> services) {
        return new TrafficConfiguration(version, limits, routes, accountsByKey, accounts, services);
    }

    private static Map<String, List<Route>> groupByHost(List<Route> routes) {
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), missing -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt(route -> -route.prefix().length());
        byHost.values().forEach(ofHost -> ofHost.sort(longestFirst));
        return byHost;
    }

    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    /**
     * Queries whether callers must send a key.
     *
     * @return true if there are client accounts
     */
    public boolean requiresKeys() {
        return !accounts.isEmpty();
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host named in the request, in lower case, not null
     * @param path the path without its query, not null
     * @return the route, or empty if there is none
     */
    public Optional<Route> route(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Gets the shortest latency objective of any route.
     *
     * @return the objective, zero if there are no routes, not null
     */
    public Duration shortestObjective() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .map(Route::latencyObjective)
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /**
     * Gets the longest timeout of the routes whose requests a service may run.
     *
     * @param service the service's name, not null
     * @return the timeout, empty if no route leads to the service, not null
     */
    public Optional<Duration> longestTimeout(String service) {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .filter(route -> route.destinations().stream()
                        .anyMatch(destination -> destination.service().equals(service)))
                .map(Route::timeout)
                .max(Comparator.naturalOrder());
    }

    /**
     * Finds the account that holds a key.
     *
     * @param key the key, not null
     * @return the account, or empty if no account holds the key
     */
    public Optional<Account> accountByKey(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /**
     * Gets the client accounts.
     *
     * @return the accounts by id, not null
     */
    public Map<AccountId, Account> accounts() {
        return accounts;
    }

    /**
     * Finds a service.
     *
     * @param name the service's name, not null
     * @return the service, or empty if it is not configured
     */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }
}
