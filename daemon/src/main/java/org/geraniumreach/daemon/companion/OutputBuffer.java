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

    private final Deque<Chunk> kept = new ArrayDeque<>();
    private final int limit;
    private final boolean keepsAll;
    private long firstKept;
    private long acknowledged;
    private long nextToSend;
    private long allowed;
    private long asked;
    private boolean isOpen;
    private Frame last;
    private boolean lastSent;
    private boolean lastAcknowledged;

    /**
     * Makes an empty buffer.
     *
     * @param first the number of the first chunk that will come
     * @param credit how many chunks may be sent at first
     * @param limit how many chunks are kept before the target is asked for no more
     * @param keepsAll whether acknowledged chunks are kept too, for another entry that asks for the whole answer
     */
    OutputBuffer(long first, int credit, int limit, boolean keepsAll) {
        this.firstKept = first;
        this.acknowledged = first;
        this.nextToSend = first;
        this.asked = first;
        this.allowed = first + credit;
        this.limit = limit;
        this.keepsAll = keepsAll;
    }

    /** Lets chunks be sent. */
    void open() {
        isOpen = true;
    }

    void add(Chunk chunk) {
        if (chunk.getSequence() != end()) {
            throw new IllegalArgumentException("chunk " + chunk.getSequence() + " where " + end() + " is expected");
        }
        kept.addLast(chunk);
    }

    /**
     * Gets the number of the chunk that comes next from the target.
     *
     * @return the number
     */
    long end() {
        return firstKept + kept.size();
    }

    /**
     * Sets the last frame, which tells how the attempt ended.
     *
     * @param frame an End or a Refused, not null
     */
    void finish(Frame frame) {
        if (last == null) {
            last = frame;
        }
    }

    boolean isFinished() {
        return last != null;
    }

    /**
     * Queries whether nothing will be asked for again.
     *
     * @return true if the entry has acknowledged the last frame
     */
    boolean isDelivered() {
        return lastAcknowledged;
    }

    /**
     * Begins again at a chunk.
     *
     * @param next the first chunk wanted
     * @param credit how many may be sent
     * @return false if that chunk was acknowledged before and is gone, or was never there
     */
    boolean resume(long next, int credit) {
        if (next < firstKept || next > end()) {
            return false;
        }
        acknowledge(next, credit);
        nextToSend = next;
        allowed = next + credit;
        lastSent = false;
        return true;
    }

    /**
     * Takes an acknowledgement; one that is older than another is harmless.
     *
     * @param next the first chunk that is not acknowledged; above the count of chunks if the last frame is, too
     * @param credit how many chunks from there on may be sent
     */
    void acknowledge(long next, int credit) {
        if (next > end() && last == null) {
            return;
        }
        allowed = Math.max(allowed, next + credit);
        lastAcknowledged |= last != null && next > end();
        acknowledged = Math.max(acknowledged, Math.min(next, nextToSend));
        while (!keepsAll && firstKept < next && !kept.isEmpty() && firstKept < nextToSend) {
            kept.removeFirst();
            firstKept++;
        }
    }

    /**
     * Takes the next frame to send.
     *
     * @return the frame, or empty if there is none or the credit is used up
     */
    Optional<Frame> next() {
        if (last != null && last.hasRefused()) {
            return takeLast();
        }
        if (isOpen && nextToSend < end() && nextToSend < allowed) {
            Frame frame = Frame.newBuilder().setChunk(chunk(nextToSend)).build();
            nextToSend++;
            return Optional.of(frame);
        }
        return nextToSend == end() ? takeLast() : Optional.empty();
    }

    private Optional<Frame> takeLast() {
        if (last == null || lastSent) {
            return Optional.empty();
        }
        lastSent = true;
        return Optional.of(last);
    }

    private Chunk chunk(long sequence) {
        if (sequence == end() - 1) {
            return kept.getLast();
        }
        Iterator<Chunk> chunks = kept.iterator();
        for (long skipped = firstKept; skipped < sequence; skipped++) {
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
        long room = (isOpen ? acknowledged : end()) + limit - asked;
        if (room < Math.max(1, limit / 4)) {
            return 0;
        }
        asked += room;
        return (int) room;
    }

    /** Notes that what was asked for and has not come will not come. */
    void forgetDemand() {
        asked = end();
    }
}
