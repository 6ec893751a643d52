package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * Takes requests back that wait at targets for an adapter version that may soon no longer begin to run requests.
 *
 * <p>A target that is asked to load the newer version rejects what it has not begun, which can be sent again without loss. What a target
 * still has when the time is nearly up is ended. Intended for few named versions and many requests: each version has two timers, and
 * a request has none. Confined to the event loop.
 */
final class OutdatedAttempts {

    /** Time before the end at which targets are asked to load the newer version; orders are normally answered within 10 ms. */
    static final Duration LOAD_MARGIN = Duration.ofMillis(1_000);

    /** Time before the end at which requests are ended, so that the targets learn of it in time. */
    static final Duration END_MARGIN = Duration.ofMillis(300);

    private final ExchangeServices services;
    private final Supplier<Set<Exchange>> exchanges;

    /**
     * Creates an instance.
     *
     * @param services the collaborators shared by all exchanges, not null
     * @param exchanges copies the set of the exchanges that have not ended, not null
     */
    OutdatedAttempts(ExchangeServices services, Supplier<Set<Exchange>> exchanges) {
        this.services = Objects.requireNonNull(services, "services");
        this.exchanges = Objects.requireNonNull(exchanges, "exchanges");
    }

    /** Called when a newer version of an adapter has been named. */
    void onVersionNamed(AdapterName adapter) {
        long version = services.adapters().namedVersion(adapter);
        services.adapters().olderVersionsEndAt(adapter).ifPresent(limit -> {
            // After a store outage the version may have been named long ago; the targets are asked first even so.
            long endAt = Math.max(limit, services.clock().nanos() + LOAD_MARGIN.toNanos());
            schedule(endAt - LOAD_MARGIN.toNanos(), () -> replaceOlderVersions(adapter, version));
            schedule(endAt - END_MARGIN.toNanos(), () -> endAttempts(adapter, version));
        });
    }

    private void schedule(long at, Runnable action) {
        services.timers()
                .schedule(Duration.ofNanos(Math.max(0, at - services.clock().nanos())), action);
    }

    private void replaceOlderVersions(AdapterName adapter, long version) {
        Set<Target> targets = attempts(adapter, version).map(Attempt::target).collect(Collectors.toUnmodifiableSet());
        targets.forEach(target ->
                services.adapters().enqueue(target, adapter, Optional.of(LOAD_MARGIN.minus(END_MARGIN)), false));
    }

    private void endAttempts(AdapterName adapter, long version) {
        exchanges.get().stream()
                .filter(Exchange::mayBeTakenBack)
                .flatMap(exchange -> exchange.attemptsAwaiting(adapter, version).stream())
                .toList()
                .forEach(attempt -> {
                    // The end of one attempt may have ended another.
                    if (attempt.awaitsOlderVersion(version)) {
                        attempt.endAsOutdated();
                    }
                });
    }

    private Stream<Attempt> attempts(AdapterName adapter, long version) {
        return exchanges.get().stream().flatMap(exchange -> exchange.attemptsAwaiting(adapter, version).stream());
    }
}
