package org.geraniumreach.link;

import org.geraniumreach.messages.Frame;

/**
 * Is told of what happens on links; heartbeats and Hello are dealt with beneath it.
 *
 * <p>Contract: for one link, calls come one at a time and in order, on an event loop; they must not block.
 */
public interface FrameHandler {

    /**
     * Tells that a link is open and both ends have said Hello.
     *
     * @param peer the other end, not null
     */
    void opened(Peer peer);

    /**
     * Tells of a frame.
     *
     * @param peer the sender, not null
     * @param frame the frame, not null
     */
    void received(Peer peer, Frame frame);

    /**
     * Tells that a link's outbound buffer has room again.
     *
     * @param peer the other end, not null
     */
    default void writable(Peer peer) {}

    /**
     * Tells that a link is closed; a new one is a new peer.
     *
     * @param peer the other end, not null
     * @param reason why, not null
     */
    void closed(Peer peer, String reason);
}
