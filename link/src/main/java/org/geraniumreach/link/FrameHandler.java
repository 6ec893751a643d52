package org.geraniumreach.link;

import org.geraniumreach.messages.Frame;

/**
 * Receives the events and frames of links, except for Hello and heartbeats, which the link handles itself.
 *
 * <p>Contract: for one link, calls come one at a time and in order, on an event loop; they must not block.
 */
public interface FrameHandler {

    /**
     * Called when a link is open and both ends have sent Hello.
     *
     * @param peer the remote end, not null
     */
    void onOpened(Peer peer);

    /**
     * Called for each frame of the registered kinds.
     *
     * @param peer the sender, not null
     * @param frame the frame, not null
     */
    void onFrame(Peer peer, Frame frame);

    /**
     * Called when a link becomes writable again after {@link Peer#isWritable} has returned false.
     *
     * @param peer the remote end, not null
     */
    default void onWritable(Peer peer) {}

    /**
     * Called when a link is closed. A new link to the instance is a new {@link Peer}.
     *
     * @param peer the remote end, not null
     * @param reason why it was closed, not null
     */
    void onClosed(Peer peer, String reason);
}
