package org.geraniumreach.gateway.process;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Set;

import org.geraniumreach.gateway.cold.ColdStartLimiter;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.model.FailureDomain;

/**
 * Settings that the platform passes to an entry at its start.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the name of the instance that the entry runs on, not empty, without spaces
 * @param failureDomain the failure domain of the instance
 * @param callerAddress the address for requests of callers
 * @param readinessAddress the address for readiness probes
 * @param linkAddress the address for connections of other entries
 * @param storeAddress the address of the store
 * @param repeatLimits the limits on repeated requests of all entries together
 * @param quotaTolerance the margin by which all entries together may exceed an account's rate
 * @param coldTolerance the margin by which all entries together may exceed a cold target's rate
 * @param evacuationLimit the time after the evacuation of a failure domain within which requests may still reach its targets
 * @param capacity the processor cores of the process, above 0, fractions allowed
 * @param drainLimit the longest time from the request to stop until the process ends
 * @param features the optional features that the deployment asks for
 */
public record ProcessSettings(
        String instance,
        FailureDomain failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress linkAddress,
        InetSocketAddress storeAddress,
        RepeatLimits repeatLimits,
        Quotas.Tolerance quotaTolerance,
        ColdStartLimiter.Tolerance coldTolerance,
        Duration evacuationLimit,
        double capacity,
        Duration drainLimit,
        Set<Feature> features) {

    /** A feature that is in effect only in deployments that ask for it. */
    public enum Feature {
        /** Requests that compete for a target's capacity are ordered by urgency and by their client account's share. */
        ORDERED_ADMISSION
    }

    public ProcessSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(readinessAddress, "readinessAddress");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(storeAddress, "storeAddress");
        Objects.requireNonNull(repeatLimits, "repeatLimits");
        Objects.requireNonNull(coldTolerance, "coldTolerance");
        Objects.requireNonNull(evacuationLimit, "evacuationLimit");
        features = Set.copyOf(features);
        if (!(capacity > 0)) {
            throw new IllegalArgumentException("capacity not above zero: " + capacity);
        }
        if (instance.isEmpty() || instance.indexOf(' ') >= 0) {
            throw new IllegalArgumentException("instance: a name without spaces is needed, not '" + instance + "'");
        }
    }

    /**
     * Queries whether the deployment asks for a feature.
     *
     * @param feature the feature, not null
     * @return true if it does
     */
    public boolean hasFeature(Feature feature) {
        return features.contains(feature);
    }

    /**
     * Limits on the repeated requests that a service may receive within a window.
     *
     * @param ratio the number of repetitions per request, not negative
     * @param extra the additional repetitions, not negative
     * @param window the length of the window
     */
    public record RepeatLimits(double ratio, double extra, Duration window) {

        public RepeatLimits {
            if (!(ratio >= 0) || !(extra >= 0)) {
                throw new IllegalArgumentException("repeat limits below zero: " + ratio + ", " + extra);
            }
        }
    }
}
