package org.geraniumreach.daemon.configuration;

import java.util.Optional;

import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.Configuration;

/**
 * Provides the configuration in force at this process.
 *
 * <p>Contract: safe for use by several threads; no call blocks. The revision of {@link #current} never decreases.
 */
public interface ConfigurationService {

    /**
     * Gets the configuration in force.
     *
     * @return the configuration, empty until the first was obtained, not null
     */
    Configuration current();

    /**
     * Refuses a request while the configuration cannot be confirmed as current.
     *
     * @throws ServingException NOT_FRESH, as not run, with a retry-after time
     */
    void requireFresh() throws ServingException;

    /**
     * Gets the reason why the configuration keeps this process from being ready.
     *
     * @return the reason, or empty if it is ready
     */
    Optional<String> reasonNotReady();

    /**
     * Registers a listener for newer configurations.
     *
     * @param listener the listener, not null
     */
    void addListener(ConfigurationListener listener);
}
