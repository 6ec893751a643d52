package org.geraniumreach.link;

import com.google.protobuf.ByteString;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.model.ExecutionStatus;

/**
 * Is told of one attempt's progress at the entry that sent it.
 *
 * <p>Contract: calls come one at a time, chunks in the order of their sequence and each once, whatever links they came
 * over; after {@link #ended}, {@link #refused} or {@link #lost} nothing follows. They run on an event loop and must not
 * block.
 */
public interface AttemptListener {

    /** Tells that the companion has queued the attempt. */
    void accepted();

    /**
     * Tells of a chunk.
     *
     * @param sequence its number, from 0 and one apart
     * @param payload its content, not null
     * @param tokens the number of tokens in it
     */
    void chunk(long sequence, ByteString payload, int tokens);

    /**
     * Tells that the answer is whole.
     *
     * @param end the end, not null
     */
    void ended(End end);

    /**
     * Tells that the companion gave the attempt up.
     *
     * @param refused why, and whether it ran, not null
     */
    void refused(Refused refused);

    /**
     * Tells that the companion cannot be reached any more, or is another incarnation.
     *
     * @param ran NO only if the companion has sealed the attempt or no byte of it was sent, not null
     * @param reason what happened, not null
     */
    void lost(ExecutionStatus ran, String reason);
}
