package org.geraniumreach.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * The versions of adapters that the operator has named.
 *
 * <p>Invariant: the version of an adapter never goes back. Confined to the event loop.
 */
final class NamedVersions {

    /** A version must be in force within 5 s; a request that is sent later than this might begin after them. */
    private static final Duration GRACE_PERIOD = Duration.ofMillis(2_500);

    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<AdapterName, NamedVersion> versions = new HashMap<>();

    /** A version that was named, and the one before it. */
    private record NamedVersion(long version, long previousVersion, OptionalLong lastReadWithoutAt) {}

    NamedVersions(MonotonicClock clock, DecisionLog log) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Takes a version that is to be served from now on.
     *
     * @param adapter the adapter
     * @param version the version
     * @param knownBefore when the operator's rows were last read without it, empty if they never were
     */
    void update(AdapterName adapter, long version, OptionalLong knownBefore) {
        if (newestVersion(adapter) >= version) {
            return;
        }
        versions.put(adapter, new NamedVersion(version, newestVersion(adapter), knownBefore));
        log.write(EventCode.ADAPTER_VERSION_NAMED, adapter.toString(), Field.of("version", version));
    }

    /** Gets the newest version of an adapter, 0 if none was named. */
    long newestVersion(AdapterName adapter) {
        NamedVersion named = versions.get(adapter);
        return named == null ? 0 : named.version();
    }

    /** Gets the least version that may still run: for a moment after a version was named, the one before. */
    long requiredVersion(AdapterName adapter) {
        NamedVersion named = versions.get(adapter);
        if (named == null) {
            return 0;
        }
        // A process that has just started, or whose store was away, cannot tell how long ago the version was named.
        boolean grace = named.lastReadWithoutAt().isPresent()
                && clock.nanos() - named.lastReadWithoutAt().getAsLong() < GRACE_PERIOD.toNanos();
        return grace ? named.previousVersion() : named.version();
    }
}
