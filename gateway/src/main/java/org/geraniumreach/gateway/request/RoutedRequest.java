package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

import org.geraniumreach.gateway.crash.RequestIdentity;
import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.MonotonicClock;

/**
 * A received request with its route, its service, the client account that is charged, and its time limit.
 *
 * <p>Immutable but for the identity, which is computed once; confined to the event loop like its exchange.
 */
final class RoutedRequest {

    private static final int URGENCY_STEPS_PER_ACCOUNT_PRIORITY = 3;
    private static final int MAXIMUM_ROUTE_PRIORITY = 2;
    private static final int LOWEST_URGENCY = 9;

    private final GatewayRequest request;
    private final Route route;
    private final String service;
    private final Optional<Account> account;
    private final Arrival arrival;
    private final long takenAt;
    private final Duration timeLimit;
    private final long expectedOutputTokens;
    private final MonotonicClock clock;
    private Optional<RequestIdentity> identity = Optional.empty();

    RoutedRequest(
            ReceivedRequest received,
            Route route,
            String service,
            Optional<Account> account,
            long expectedOutputTokens,
            MonotonicClock clock) {
        this.request = received.request();
        this.route = route;
        this.service = service;
        this.account = account;
        this.arrival = received.arrival();
        this.takenAt = received.takenAt();
        this.timeLimit = route.effectiveTimeout(request.callerTimeout());
        this.expectedOutputTokens = expectedOutputTokens;
        this.clock = clock;
    }

    GatewayRequest request() {
        return request;
    }

    /** Gets what the request is recognized by in all its attempts; computed only when it is needed. */
    RequestIdentity identity() {
        if (identity.isEmpty()) {
            identity = Optional.of(RequestIdentity.of(request, account.map(Account::id)));
        }
        return identity.get();
    }

    Route route() {
        return route;
    }

    String service() {
        return service;
    }

    Optional<Account> account() {
        return account;
    }

    Arrival arrival() {
        return arrival;
    }

    /** Gets the time for which the request waited for the event loop after it had been read. */
    Duration queued() {
        return arrival.sinceRead(takenAt);
    }

    long receivedAt() {
        return arrival.readAt();
    }

    /** Gets the time since the request was read. */
    Duration elapsed() {
        return arrival.sinceRead(clock.nanos());
    }

    /** Gets the time at which the request's time ends, in nanoseconds of the clock. */
    long endsAt() {
        return arrival.arrivedAt() + timeLimit.toNanos();
    }

    /** Gets what is left of the request's time, which runs from when it can have come, not positive if nothing is left. */
    Duration remaining() {
        return Duration.ofNanos(endsAt() - clock.nanos());
    }

    /** Gets the time left until the first part misses the objective, negative if it has. */
    Duration objectiveLeft() {
        return route.latencyObjective().minus(elapsed());
    }

    Optional<AdapterName> adapter() {
        return request.generation().flatMap(GatewayRequest.Generation::adapter);
    }

    long promptTokens() {
        return request.generation().map(GatewayRequest.Generation::promptTokens).orElse(0L);
    }

    long expectedOutputTokens() {
        return expectedOutputTokens;
    }

    /** Gets the units that are charged to an account for the request. */
    double quotaUnits(Account charged) {
        if (!charged.countsTokens()) {
            return 1;
        }
        return request.generation().map(GatewayRequest.Generation::quotaTokens).orElse(charged.defaultUnits());
    }

    /** Gets the urgency that targets are told, 0 for the most urgent requests. */
    int urgency() {
        int accountPriority =
                account.map(Account::priority).orElse(OptionalInt.empty()).orElse(1);
        return Math.min(
                LOWEST_URGENCY,
                accountPriority * URGENCY_STEPS_PER_ACCOUNT_PRIORITY
                        + Math.min(MAXIMUM_ROUTE_PRIORITY, route.priority()));
    }

    /** Gets what the order of the request depends on besides its time; accounts weigh as much as their configured rates. */
    RequestPriority priority() {
        return new RequestPriority(
                urgency(),
                account.map(Account::id),
                account.map(Account::unitsPerSecond).orElse(0.0));
    }
}
