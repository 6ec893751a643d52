package org.geraniumreach.link;

import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;

/**
 * The other end of an open link.
 *
 * <p>Contract: safe for use by several threads. Frames sent by one thread arrive in order or not at all.
 */
public interface Peer {

    /**
     * Gets what the other end said of itself.
     *
     * @return its Hello, not null
     */
    Hello hello();

    /**
     * Sends a frame.
     *
     * @param frame the frame, not null
     * @return false if the link is closed, and the frame will not arrive
     */
    boolean send(Frame frame);

    /**
     * Queries whether the link's outbound buffer is below its limit.
     *
     * @return false if a sender of bulk should wait for {@link FrameHandler#writable}
     */
    boolean isWritable();

    /**
     * Closes the link.
     *
     * @param reason why, for the log, not null
     */
    void close(String reason);
}
