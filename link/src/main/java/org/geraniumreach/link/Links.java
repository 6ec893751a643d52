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
 * <p>Contract: safe for use by several threads. Of two links with one instance the newer incarnation's stays.
 */
public interface Links {

    /**
     * Opens a link to an instance and keeps it open, with new connections after losses, until released.
     *
     * @param instance the instance, not null
     * @param address its link address, not null
     */
    void keep(InstanceId instance, InetSocketAddress address);

    /**
     * Stops keeping a link; an open one is closed.
     *
     * @param instance the instance, not null
     */
    void release(InstanceId instance);

    /**
     * Finds the open link with an instance, whoever opened it.
     *
     * @param instance the instance, not null
     * @return the link, or empty if none is open
     */
    Optional<Peer> find(InstanceId instance);

    /**
     * Gets all open links.
     *
     * @return the links, not null
     */
    List<Peer> peers();

    /**
     * Registers who is told of frames of some kinds; every handler is told of links that open and close.
     *
     * @param kinds the kinds of frame, not null
     * @param handler the handler, not null
     */
    void handle(Set<Frame.BodyCase> kinds, FrameHandler handler);
}
