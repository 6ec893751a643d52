package org.geraniumreach.daemon.configuration;

import java.util.Set;

import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.record.Configuration;

/**
 * Receives changes of the configuration in force.
 *
 * <p>Contract: calls come one at a time, with increasing revisions, and must not block.
 */
@FunctionalInterface
public interface ConfigurationListener {

    /**
     * Called when a newer configuration takes effect.
     *
     * @param before the previous configuration, not null
     * @param after the new configuration, not null
     * @param withdrawnKeys the keys that are no longer valid or belong to another client account; their running requests
     *     must be cancelled, not null
     */
    void onConfigurationChanged(Configuration before, Configuration after, Set<KeyDigest> withdrawnKeys);
}
