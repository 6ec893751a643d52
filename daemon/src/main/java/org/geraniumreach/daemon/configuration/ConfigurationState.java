package org.geraniumreach.daemon.configuration;

import org.geraniumreach.coordination.configuration.ConfigurationNode;
import org.geraniumreach.model.record.Configuration;

/**
 * The state of the configuration of a process at one moment.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param configuration the configuration in force
 * @param obtained whether one was obtained from the table or a peer
 * @param freshUntilNanos the monotonic clock in nanoseconds until which the configuration counts as current
 * @param poller whether this process polls the table
 * @param storeUnreachable whether this process cannot reach the table
 * @param fresh whether the configuration was fresh at that moment
 */
public record ConfigurationState(
        Configuration configuration,
        boolean obtained,
        long freshUntilNanos,
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

    ConfigurationState withFresh(boolean newFresh) {
        return new ConfigurationState(configuration, obtained, freshUntilNanos, poller, storeUnreachable, newFresh);
    }

    boolean isFreshAt(long now) {
        return obtained && now - freshUntilNanos < 0;
    }
}
