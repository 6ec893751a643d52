package org.geraniumreach.gateway.request;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.stream.StreamOrigin;
import org.geraniumreach.model.SoftwareVersion;

/**
 * The service that is to run a request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param service the service
 * @param requiredVersion the software version at which it must run, empty for any
 */
record ServiceChoice(String service, Optional<SoftwareVersion> requiredVersion) {

    ServiceChoice {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(requiredVersion, "requiredVersion");
    }

    static ServiceChoice anyVersion(String service) {
        return new ServiceChoice(service, Optional.empty());
    }

    /** Obtains the choice for a stream that goes on where it began. */
    static ServiceChoice of(StreamOrigin origin) {
        return new ServiceChoice(origin.service(), Optional.of(origin.version()));
    }
}
