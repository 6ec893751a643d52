package org.geraniumreach.coordination.configuration;

import org.geraniumreach.model.InstanceId;

/** What a {@link ConfigurationNode} wants done. */
public sealed interface NodeAction {

    /**
     * Send a message to a peer; it may be lost.
     *
     * @param peer the peer
     * @param message the message
     */
    record Send(InstanceId peer, NodeMessage message) implements NodeAction {}

    /**
     * Read the table; report by {@link ConfigurationNode#polled} or {@link ConfigurationNode#pollFailed}.
     *
     * @param haveRevision the revision in force here
     */
    record Poll(long haveRevision) implements NodeAction {}
}
