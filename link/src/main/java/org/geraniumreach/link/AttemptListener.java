package org.geraniumreach.link;

import com.google.protobuf.ByteString;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.model.ExecutionStatus;

/**
 * Receives the progress of one attempt at the entry that sent it.
 *
 * <p>Contract: calls come one at a time, chunks in sequence order and each once, even if the link changes; {@link
 * #onEnded}, {@link #onRefused} or {@link #onLost} is the last call. They run on an event loop and must not block.
 */
public interface AttemptListener {

    /** Called when the companion has queued the attempt. */
    void onAccepted();

    /**
     * Called for each chunk.
     *
     * @param sequence its sequence number; consecutive, from 0
     * @param payload its content, not null
     * @param tokens the number of tokens in it
     */
    void onChunk(long sequence, ByteString payload, int tokens);

    /**
     * Called when the answer is complete.
     *
     * @param end the end, not null
     */
    void onEnded(End end);

    /**
     * Called when the companion refused or aborted the attempt.
     *
     * @param refused the reason, and whether the attempt ran, not null
     */
    void onRefused(Refused refused);

    /**
     * Called when the companion has become unreachable or is another incarnation.
     *
     * @param executionStatus NO only if the companion has sealed the attempt or no byte of it was sent, not null
     * @param reason what happened, not null
     */
    void onLost(ExecutionStatus executionStatus, String reason);
}
