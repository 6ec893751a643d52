package org.geraniumreach.link;

import com.google.protobuf.ByteString;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.model.ExecutionStatus;

/**
 * What an {@link AttemptTracker} asks its caller to do.
 *
 * <p>Implementations are immutable and safe for use by several threads.
 */
sealed interface AttemptAction {

    /**
     * Send a frame over the link in use.
     *
     * @param frame the frame
     */
    record Send(Frame frame) implements AttemptAction {}

    /** Tell the listener that the attempt is queued. */
    record NotifyAccepted() implements AttemptAction {}

    /**
     * Tell the listener of a chunk.
     *
     * @param sequence its number
     * @param payload its content
     * @param tokens its tokens
     */
    record NotifyChunk(long sequence, ByteString payload, int tokens) implements AttemptAction {}

    /**
     * Tell the listener of the end.
     *
     * @param end the end
     */
    record NotifyEnded(End end) implements AttemptAction {}

    /**
     * Tell the listener of a refusal.
     *
     * @param refused the refusal
     */
    record NotifyRefused(Refused refused) implements AttemptAction {}

    /**
     * Tell the listener that the companion is lost.
     *
     * @param executionStatus whether the attempt ran
     * @param reason what happened
     */
    record NotifyLost(ExecutionStatus executionStatus, String reason) implements AttemptAction {}
}
