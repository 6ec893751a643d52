package org.geraniumreach.link;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.messages.Frame;
import org.geraniumreach.model.InstanceId;

/**
 * The open links of this process.
 *
 * <p>Contract: safe for use by several threads. When two incarnations of an instance connect, only the newer one's
 * links stay open.
 */
public interface Links {

    /**
     * Opens a link to an instance and keeps it open until released, reconnecting after each loss.
     *
     * @param instance the instance, not null
     * @param address its link address, not null
     */
    void keep(InstanceId instance, InetSocketAddress address);

    /**
     * Stops reconnecting to an instance and closes its open link, if any.
     *
     * @param instance the instance, not null
     */
    void release(InstanceId instance);

    /**
     * Finds the open link to an instance, whichever side opened it.
     *
     * @param instance the instance, not null
     * @return the link, or empty if none is open
     */
    Optional<Peer> find(InstanceId instance);

    /**
     * Returns one open link for each connected instance, the most recent.
     *
     * @return the links, not null
     */
    List<Peer> peers();

    /**
     * Registers a handler for some kinds of frame. Every handler is notified of all links that open and close.
     *
     * @param kinds the kinds of frame passed to the handler, not null
     * @param handler the handler, not null
     */
    void registerHandler(Set<Frame.BodyCase> kinds, FrameHandler handler);
}
