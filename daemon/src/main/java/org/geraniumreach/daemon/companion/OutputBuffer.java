package org.geraniumreach.daemon.companion;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

import org.geraniumreach.messages.Chunk;
import org.geraniumreach.messages.Frame;

/**
 * The output of one attempt: the chunks that its entry has not acknowledged, and the credit to send them.
 *
 * <p>Invariants: sequence numbers of chunks are consecutive; no chunk is sent beyond the credit; a chunk that is not
 * acknowledged can be sent again; the last frame is sent after all chunks, unless it is a Refused, which is sent at
 * once. No chunk is sent before {@link #open}, which is called once the target has named the adapter that it runs.
 * Performs no I/O and has no threads or clock of its own. Not safe for use by several threads.
 */
final class OutputBuffer {

    private final Deque<Chunk> retained = new ArrayDeque<>();
    private final int retainedLimit;
    private final boolean retainsAcknowledged;
    private long firstRetained;
    private long acknowledged;
    private long nextToSend;
    private long sendLimit;
    private long requestedEnd;
    private boolean isOpen;
    private Frame lastFrame;
    private boolean isLastSent;
    private boolean isLastAcknowledged;

    /**
     * Creates an empty buffer.
     *
     * @param first the sequence number of the first chunk
     * @param credit how many chunks may be sent at first
     * @param retainedLimit how many chunks are retained before no more are requested from the target
     * @param retainsAcknowledged whether acknowledged chunks are retained too, for another entry that requests the
     * whole answer
     */
    OutputBuffer(long first, int credit, int retainedLimit, boolean retainsAcknowledged) {
        this.firstRetained = first;
        this.acknowledged = first;
        this.nextToSend = first;
        this.requestedEnd = first;
        this.sendLimit = first + credit;
        this.retainedLimit = retainedLimit;
        this.retainsAcknowledged = retainsAcknowledged;
    }

    /** Permits chunks to be sent. */
    void open() {
        isOpen = true;
    }

    void add(Chunk chunk) {
        if (chunk.getSequence() != nextExpectedSequence()) {
            throw new IllegalArgumentException(
                    "chunk " + chunk.getSequence() + " where " + nextExpectedSequence() + " is expected");
        }
        retained.addLast(chunk);
    }

    /**
     * Gets the sequence number of the next chunk from the target.
     *
     * @return the sequence number
     */
    long nextExpectedSequence() {
        return firstRetained + retained.size();
    }

    /**
     * Sets the last frame, which ends the attempt. Only the first call has an effect.
     *
     * @param frame an End or a Refused, not null
     */
    void finish(Frame frame) {
        if (lastFrame == null) {
            lastFrame = frame;
        }
    }

    boolean isFinished() {
        return lastFrame != null;
    }

    /**
     * Queries whether the entry has received the whole output.
     *
     * @return true if the entry has acknowledged the last frame
     */
    boolean isDelivered() {
        return isLastAcknowledged;
    }

    /**
     * Resumes sending at a chunk.
     *
     * @param next the first chunk wanted
     * @param credit how many chunks may be sent
     * @return false if that chunk was discarded after its acknowledgement, or does not exist
     */
    boolean resume(long next, int credit) {
        if (next < firstRetained || next > nextExpectedSequence()) {
            return false;
        }
        acknowledge(next, credit);
        nextToSend = next;
        sendLimit = next + credit;
        isLastSent = false;
        return true;
    }

    /**
     * Processes an acknowledgement; one that arrives after a later one has no effect.
     *
     * @param next the first chunk that is not acknowledged; greater than the number of chunks if the last frame is
     * acknowledged too
     * @param credit how many chunks may be sent from there on
     */
    void acknowledge(long next, int credit) {
        if (next > nextExpectedSequence() && lastFrame == null) {
            return;
        }
        sendLimit = Math.max(sendLimit, next + credit);
        isLastAcknowledged |= lastFrame != null && next > nextExpectedSequence();
        acknowledged = Math.max(acknowledged, Math.min(next, nextToSend));
        while (!retainsAcknowledged && firstRetained < next && !retained.isEmpty() && firstRetained < nextToSend) {
            retained.removeFirst();
            firstRetained++;
        }
    }

    /**
     * Removes the next frame to send.
     *
     * @return the frame, or empty if there is none or the credit is exhausted
     */
    Optional<Frame> pollFrame() {
        if (lastFrame != null && lastFrame.hasRefused()) {
            return pollLastFrame();
        }
        if (isOpen && nextToSend < nextExpectedSequence() && nextToSend < sendLimit) {
            Frame frame = Frame.newBuilder().setChunk(chunk(nextToSend)).build();
            nextToSend++;
            return Optional.of(frame);
        }
        return nextToSend == nextExpectedSequence() ? pollLastFrame() : Optional.empty();
    }

    private Optional<Frame> pollLastFrame() {
        if (lastFrame == null || isLastSent) {
            return Optional.empty();
        }
        isLastSent = true;
        return Optional.of(lastFrame);
    }

    private Chunk chunk(long sequence) {
        if (sequence == nextExpectedSequence() - 1) {
            return retained.getLast();
        }
        Iterator<Chunk> chunks = retained.iterator();
        for (long skipped = firstRetained; skipped < sequence; skipped++) {
            chunks.next();
        }
        return chunks.next();
    }

    /**
     * Computes how many chunks to request from the target, so that the retained chunks stay within the limit and a slow
     * caller slows only its own stream. Before {@link #open} nothing can be acknowledged, so the limit does not apply;
     * otherwise an engine that names its adapter only at the end would never get there.
     *
     * @return the number of chunks, 0 for none; they count as requested
     */
    int takeDemand() {
        long demand = (isOpen ? acknowledged : nextExpectedSequence()) + retainedLimit - requestedEnd;
        if (demand < Math.max(1, retainedLimit / 4)) {
            return 0;
        }
        requestedEnd += demand;
        return (int) demand;
    }

    /** Records that chunks that were requested and have not arrived will not arrive. */
    void resetDemand() {
        requestedEnd = nextExpectedSequence();
    }
}
