package org.geraniumreach.standins.list;

import java.net.URI;
import java.util.Objects;

/**
 * An instance that the stand-in list watches.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance its name
 * @param role entry or companion
 * @param failureDomain where it is
 * @param linkAddress where other processes reach it, number and port
 * @param healthUrl what is asked whether it is alive
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
