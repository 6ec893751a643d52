package org.geraniumreach.link;

import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;

/**
 * The remote end of an open link.
 *
 * <p>Contract: safe for use by several threads. Frames sent by one thread arrive in order or not at all.
 */
public interface Peer {

    /**
     * Returns the Hello that the remote end sent.
     *
     * @return the Hello, not null
     */
    Hello hello();

    /**
     * Sends a frame.
     *
     * @param frame the frame, not null
     * @return false if the link is closed or the frame exceeds the maximum length, and the frame will not arrive
     */
    boolean send(Frame frame);

    /**
     * Queries whether the link's outbound buffer is below its limit.
     *
     * @return false if a sender of bulk data should wait for {@link FrameHandler#onWritable}
     */
    boolean isWritable();

    /**
     * Closes the link.
     *
     * @param reason why it is closed, for the log, not null
     */
    void close(String reason);
}
