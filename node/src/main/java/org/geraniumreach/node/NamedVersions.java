package org.geraniumreach.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * The adapter versions that the operator has put in force.
 *
 * <p>Invariant: the version of an adapter never decreases. Confined to the event loop.
 */
final class NamedVersions {

    /** A new version must be in force within 5 s; a request sent with the previous version after the grace period might start too late. */
    private static final Duration GRACE_PERIOD = Duration.ofMillis(2_500);

    /** The time from the acknowledgement of a version until no request may begin at an older one. */
    private static final Duration OLDER_VERSIONS_LIMIT = Duration.ofSeconds(5);

    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<AdapterName, NamedVersion> versions = new HashMap<>();
    private final List<Consumer<AdapterName>> listeners = new ArrayList<>();

    /** A version in force, its predecessor, when it became known, and when the operator's rows were last read without it. */
    private record NamedVersion(long version, long previousVersion, long learntAt, OptionalLong lastReadWithoutAt) {

        /** The version may have been acknowledged right after the last read without it, or long ago if there was none. */
        private long olderVersionsEndAt() {
            return lastReadWithoutAt.isPresent()
                    ? lastReadWithoutAt.getAsLong() + OLDER_VERSIONS_LIMIT.toNanos()
                    : learntAt;
        }
    }

    NamedVersions(MonotonicClock clock, DecisionLog log) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Puts a version in force; ignored unless it is newer than the known one.
     *
     * @param adapter the adapter
     * @param version the version
     * @param lastReadWithoutAt when the operator's rows were last read without the version, empty if they never were
     */
    void update(AdapterName adapter, long version, OptionalLong lastReadWithoutAt) {
        if (newestVersion(adapter) >= version) {
            return;
        }
        versions.put(adapter, new NamedVersion(version, newestVersion(adapter), clock.nanos(), lastReadWithoutAt));
        log.write(EventCode.ADAPTER_VERSION_NAMED, adapter.toString(), Field.of("version", version));
        listeners.forEach(listener -> listener.accept(adapter));
    }

    /** Registers a listener that receives each adapter once a newer version of it is in force. */
    void addListener(Consumer<AdapterName> listener) {
        listeners.add(listener);
    }

    /** Gets the time after which no request may begin at a version older than the one in force, empty if there is none. */
    OptionalLong olderVersionsEndAt(AdapterName adapter) {
        NamedVersion named = versions.get(adapter);
        return named == null ? OptionalLong.empty() : OptionalLong.of(named.olderVersionsEndAt());
    }

    /** Gets the version of an adapter that is in force, 0 if there is none. */
    long newestVersion(AdapterName adapter) {
        NamedVersion named = versions.get(adapter);
        return named == null ? 0 : named.version();
    }

    /** Gets the time at which the version of an adapter that is in force became known, empty if there is none. */
    OptionalLong learntAt(AdapterName adapter) {
        NamedVersion named = versions.get(adapter);
        return named == null ? OptionalLong.empty() : OptionalLong.of(named.learntAt());
    }

    /** Gets the lowest version that may serve requests: during the grace period, the previous version. */
    long requiredVersion(AdapterName adapter) {
        NamedVersion named = versions.get(adapter);
        if (named == null) {
            return 0;
        }
        // Without an earlier read, or after a store outage, it is unknown how long the version has been in force.
        boolean inGracePeriod = named.lastReadWithoutAt().isPresent()
                && clock.nanos() - named.lastReadWithoutAt().getAsLong() < GRACE_PERIOD.toNanos();
        return inGracePeriod ? named.previousVersion() : named.version();
    }
}
