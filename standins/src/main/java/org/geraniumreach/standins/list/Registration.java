package org.geraniumreach.standins.list;

import java.net.URI;
import java.util.Objects;

/**
 * An instance that the stand-in instance list probes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the name of the instance
 * @param role {@code entry} or {@code companion}
 * @param failureDomain the failure domain of the instance
 * @param linkAddress the numeric address and port at which other processes reach the instance
 * @param healthUrl the URL to probe
 */
public record Registration(String instance, String role, String failureDomain, String linkAddress, URI healthUrl) {

    public Registration {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(healthUrl, "healthUrl");
    }
}
