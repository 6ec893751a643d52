package org.geraniumreach.coordination.configuration;

import org.geraniumreach.model.InstanceId;

/** An action that a {@link ConfigurationNode} requests from its caller. */
public sealed interface NodeAction {

    /**
     * Sends a message to a peer. Delivery is not guaranteed.
     *
     * @param peer the peer
     * @param message the message
     */
    record Send(InstanceId peer, NodeMessage message) implements NodeAction {}

    /**
     * Reads the table. The outcome is reported by {@link ConfigurationNode#onPollCompleted} or {@link ConfigurationNode#onPollFailed}.
     *
     * @param heldRevision the current revision of the node
     */
    record Poll(long heldRevision) implements NodeAction {}
}
