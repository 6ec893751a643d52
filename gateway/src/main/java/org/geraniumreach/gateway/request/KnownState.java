package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * What this entry knows at one moment of the version of a request's adapter, and how old its rows are.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param versions the versions of the adapter, empty if the request uses none of which a version was named
 * @param targetRowsAge the time since the rows of targets were read, empty before the first reading
 * @param operatorRowsAge the time since the operator's rows were read, empty before the first reading
 */
record KnownState(Optional<Versions> versions, Optional<Duration> targetRowsAge, Optional<Duration> operatorRowsAge) {

    /**
     * The versions of an adapter.
     *
     * @param expected the version that the target is told to expect, empty for none
     * @param minimum the lowest version that may be used
     * @param named the newest named version
     * @param namedFor the time since the newest version has been known, empty if that is unknown
     */
    record Versions(OptionalLong expected, long minimum, long named, Optional<Duration> namedFor) {}

    static KnownState of(ExchangeServices services, RoutedRequest request, Target target) {
        return new KnownState(
                request.adapter()
                        .filter(adapter -> services.adapters().namedVersion(adapter) > 0)
                        .map(adapter -> versions(services, adapter, target)),
                age(services, services.rowReadings().readAt(StorePort.Table.TARGETS)),
                age(services, services.rowReadings().readAt(StorePort.Table.OPERATOR)));
    }

    private static Versions versions(ExchangeServices services, AdapterName adapter, Target target) {
        AdapterLoader adapters = services.adapters();
        return new Versions(
                target.residentVersion(adapter),
                adapters.minimumVersion(adapter),
                adapters.namedVersion(adapter),
                age(services, adapters.namedAt(adapter)));
    }

    private static Optional<Duration> age(ExchangeServices services, OptionalLong since) {
        return since.isPresent()
                ? Optional.of(Duration.ofNanos(services.clock().nanos() - since.getAsLong()))
                : Optional.empty();
    }

    /** Describes the state in a line of the log; -1 stands for an unknown age or version. */
    Stream<Field> fields() {
        return Stream.concat(
                versions.stream().flatMap(KnownState::fieldsOf),
                Stream.of(
                        Field.of("targetRowsAgeMillis", millis(targetRowsAge)),
                        Field.of("operatorRowsAgeMillis", millis(operatorRowsAge))));
    }

    private static Stream<Field> fieldsOf(Versions known) {
        return Stream.of(
                Field.of("expectedVersion", known.expected().orElse(-1)),
                Field.of("minimumVersion", known.minimum()),
                Field.of("namedVersion", known.named()),
                Field.of("namedForMillis", millis(known.namedFor())));
    }

    private static long millis(Optional<Duration> duration) {
        return duration.map(Duration::toMillis).orElse(-1L);
    }
}
