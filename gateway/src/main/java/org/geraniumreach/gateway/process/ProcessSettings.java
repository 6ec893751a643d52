package org.geraniumreach.gateway.process;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.gateway.cold.ColdTargets;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.model.FailureDomain;

/**
 * What the platform tells an entry at its start.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the name of the instance that it runs on
 * @param failureDomain where that stands
 * @param callers where callers are listened to
 * @param readiness where questions for readiness are listened to
 * @param links where other entries are listened to
 * @param store the store's address
 * @param repeats how many second arrivals all entries together may cause
 * @param quotaTolerance how far all entries together may go beyond an account's rate
 * @param coldTolerance how far all entries together may go beyond a cold target's rate
 * @param evacuationLimit how long after the evacuation of a failure domain requests may still reach its targets
 * @param capacity the processor cores that the process has, a fraction if it has a share of one
 * @param drainLimit how long the process may go on after it is asked to end
 */
public record ProcessSettings(
        String instance,
        FailureDomain failureDomain,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress links,
        InetSocketAddress store,
        RepeatLimits repeats,
        Quotas.Tolerance quotaTolerance,
        ColdTargets.Tolerance coldTolerance,
        Duration evacuationLimit,
        double capacity,
        Duration drainLimit) {

    public ProcessSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(readiness, "readiness");
        Objects.requireNonNull(links, "links");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(repeats, "repeats");
        Objects.requireNonNull(coldTolerance, "coldTolerance");
        Objects.requireNonNull(evacuationLimit, "evacuationLimit");
        if (!(capacity > 0)) {
            throw new IllegalArgumentException("capacity not above zero: " + capacity);
        }
        if (instance.isEmpty() || instance.indexOf(' ') >= 0) {
            throw new IllegalArgumentException("instance: a name without spaces is needed, not '" + instance + "'");
        }
    }

    /**
     * How many second arrivals a service may get in a window.
     *
     * @param ratio for each request
     * @param extra besides
     * @param window the window
     */
    public record RepeatLimits(double ratio, double extra, Duration window) {

        public RepeatLimits {
            if (!(ratio >= 0) || !(extra >= 0)) {
                throw new IllegalArgumentException("repeat limits below zero: " + ratio + ", " + extra);
            }
        }
    }
}
