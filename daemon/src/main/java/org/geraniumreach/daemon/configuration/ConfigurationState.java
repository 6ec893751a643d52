package org.geraniumreach.daemon.configuration;

import org.geraniumreach.coordination.configuration.ConfigurationNode;
import org.geraniumreach.model.record.Configuration;

/**
 * What a process knows of its configuration at one moment.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param configuration the configuration in force
 * @param obtained whether one was obtained from the table or a peer
 * @param freshUntil until when, by the monotonic clock, it may be taken as current
 * @param poller whether this process polls the table
 * @param storeUnreachable whether the table is out of this process's reach
 * @param fresh whether it was fresh at that moment
 */
public record ConfigurationState(
        Configuration configuration,
        boolean obtained,
        long freshUntil,
        boolean poller,
        boolean storeUnreachable,
        boolean fresh) {

    static ConfigurationState of(ConfigurationNode node) {
        return new ConfigurationState(
                node.configuration(),
                node.hasConfiguration(),
                node.freshUntil(),
                node.isPoller(),
                node.isStoreUnreachable(),
                false);
    }

    ConfigurationState withFresh(boolean isFresh) {
        return new ConfigurationState(configuration, obtained, freshUntil, poller, storeUnreachable, isFresh);
    }

    boolean isFreshAt(long now) {
        return obtained && now - freshUntil < 0;
    }
}
