package org.geraniumreach.link;

import com.google.protobuf.ByteString;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.model.ExecutionStatus;

/**
 * An action that an {@link AttemptTracker} requests from its caller.
 *
 * <p>Implementations are immutable and safe for use by several threads.
 */
sealed interface AttemptAction {

    /**
     * Send a frame over the current link.
     *
     * @param frame the frame
     */
    record Send(Frame frame) implements AttemptAction {}

    /** Notify the listener that the attempt is queued. */
    record NotifyAccepted() implements AttemptAction {}

    /**
     * Notify the listener of a chunk.
     *
     * @param sequence its sequence number
     * @param payload its content
     * @param tokens the number of tokens in it
     */
    record NotifyChunk(long sequence, ByteString payload, int tokens) implements AttemptAction {}

    /**
     * Notify the listener of the end.
     *
     * @param end the end
     */
    record NotifyEnded(End end) implements AttemptAction {}

    /**
     * Notify the listener of a refusal.
     *
     * @param refused the refusal
     */
    record NotifyRefused(Refused refused) implements AttemptAction {}

    /**
     * Notify the listener that the companion is lost.
     *
     * @param executionStatus whether the attempt ran
     * @param reason why the companion counts as lost
     */
    record NotifyLost(ExecutionStatus executionStatus, String reason) implements AttemptAction {}
}
