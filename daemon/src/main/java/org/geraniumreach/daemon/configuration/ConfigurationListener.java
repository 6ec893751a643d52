package org.geraniumreach.daemon.configuration;

import java.util.Set;

import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.record.Configuration;

/**
 * Is told when a newer configuration is in force.
 *
 * <p>Contract: calls come one at a time, with rising revisions, and must not block.
 */
@FunctionalInterface
public interface ConfigurationListener {

    /**
     * Tells of a newer configuration.
     *
     * @param before the one until now, not null
     * @param after the one from now on, not null
     * @param withdrawnKeys the keys that were good until now and are not any more, or act for another client account;
     *     running requests of theirs are to be cancelled, not null
     */
    void changed(Configuration before, Configuration after, Set<KeyDigest> withdrawnKeys);
}
