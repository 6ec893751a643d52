package org.geraniumreach.daemon.companion;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

import org.geraniumreach.messages.Chunk;
import org.geraniumreach.messages.Frame;

/**
 * The output of one attempt: what its entry has not acknowledged, and what may be sent of it.
 *
 * <p>Invariants: chunks are numbered from the first one on and one apart; none is sent beyond the credit; one that is not
 * acknowledged can be sent again; the last frame is sent after all chunks. Nothing is sent before {@link #open}, which
 * waits for the target to say what it runs. No I/O, threads or clock of its own. Not safe for use by several threads.
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
     * Makes an empty buffer.
     *
     * @param first the number of the first chunk that will come
     * @param credit how many chunks may be sent at first
     * @param limit how many chunks are kept before the target is asked for no more
     * @param keepsAll whether acknowledged chunks are kept too, for another entry that asks for the whole answer
     */
    OutputBuffer(long first, int credit, int limit, boolean keepsAll) {
        this.firstRetained = first;
        this.acknowledged = first;
        this.nextToSend = first;
        this.requestedEnd = first;
        this.sendLimit = first + credit;
        this.retainedLimit = limit;
        this.retainsAcknowledged = keepsAll;
    }

    /** Lets chunks be sent. */
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
     * Gets the number of the chunk that comes next from the target.
     *
     * @return the number
     */
    long nextExpectedSequence() {
        return firstRetained + retained.size();
    }

    /**
     * Sets the last frame, which tells how the attempt ended.
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
     * Queries whether nothing will be asked for again.
     *
     * @return true if the entry has acknowledged the last frame
     */
    boolean isDelivered() {
        return isLastAcknowledged;
    }

    /**
     * Begins again at a chunk.
     *
     * @param next the first chunk wanted
     * @param credit how many may be sent
     * @return false if that chunk was acknowledged before and is gone, or was never there
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
     * Takes an acknowledgement; one that is older than another is harmless.
     *
     * @param next the first chunk that is not acknowledged; above the count of chunks if the last frame is, too
     * @param credit how many chunks from there on may be sent
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
     * Takes the next frame to send.
     *
     * @return the frame, or empty if there is none or the credit is used up
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
     * Decides how many chunks to ask of the target, so that what is kept stays within the limit and a slow caller slows
     * its own stream only. Before {@link #open} nothing can be acknowledged, so the limit does not hold: an engine that
     * names what it ran only at the end would otherwise never reach it.
     *
     * @return how many, 0 for none; they count as asked for
     */
    int takeDemand() {
        long room = (isOpen ? acknowledged : nextExpectedSequence()) + retainedLimit - requestedEnd;
        if (room < Math.max(1, retainedLimit / 4)) {
            return 0;
        }
        requestedEnd += room;
        return (int) room;
    }

    /** Notes that what was asked for and has not come will not come. */
    void resetDemand() {
        requestedEnd = nextExpectedSequence();
    }
}
