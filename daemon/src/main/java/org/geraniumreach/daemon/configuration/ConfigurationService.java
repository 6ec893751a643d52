package org.geraniumreach.daemon.configuration;

import java.util.Optional;

import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.Configuration;

/**
 * The configuration in force at this process.
 *
 * <p>Contract: safe for use by several threads; no call blocks. The revision of {@link #current} never falls.
 */
public interface ConfigurationService {

    /**
     * Gets the configuration in force.
     *
     * @return the configuration, the empty one before the first was obtained, not null
     */
    Configuration current();

    /**
     * Refuses a request while the configuration cannot be confirmed as current.
     *
     * @throws ServingException with NOT_FRESH, not run, and a time to come back
     */
    void requireFresh() throws ServingException;

    /**
     * Gets why this process is not ready as far as the configuration goes.
     *
     * @return the reason, or empty if it is ready
     */
    Optional<String> reasonNotReady();

    /**
     * Registers who is told of newer configurations.
     *
     * @param listener the listener, not null
     */
    void listen(ConfigurationListener listener);
}
