package org.geraniumreach.gateway.request;

/**
 * Limits the bytes of targets' answers that all requests together hold in memory.
 *
 * <p>Intended for answers that are short, of which a faulty target may send one that does not end. Such an answer fails at its own
 * limit, and many at once fail at the common one, while requests whose answers hold nothing go on.
 *
 * <p>Invariant: the bytes held are those that were granted and not released. Confined to the event loop, except that any thread may query
 * the bytes held.
 */
public final class AnswerMemory {

    /** Part of the heap for all answers; the rest is for requests, state and the garbage between two collections. */
    private static final long HEAP_DIVISOR = 8;

    /** Part of the memory for one answer, so that one alone does not take it all. */
    private static final long ANSWER_DIVISOR = 4;

    private final long capacityBytes;
    private volatile long heldBytes;

    /**
     * Creates a memory in which nothing is held.
     *
     * @param capacityBytes the most bytes that all answers hold
     */
    public AnswerMemory(long capacityBytes) {
        if (capacityBytes <= 0) {
            throw new IllegalArgumentException("capacity " + capacityBytes + " not positive");
        }
        this.capacityBytes = capacityBytes;
    }

    /**
     * Creates a memory of a fixed part of a heap.
     *
     * @param heapBytes the maximum size of the heap, in bytes
     * @return the memory, not null
     */
    public static AnswerMemory ofHeap(long heapBytes) {
        return new AnswerMemory(heapBytes / HEAP_DIVISOR);
    }

    /** Grants an answer more bytes; returns false if it or all answers together would hold too many. */
    boolean tryHold(long heldByAnswer, long additionalBytes) {
        boolean fits = heldByAnswer + additionalBytes <= capacityBytes / ANSWER_DIVISOR
                && heldBytes + additionalBytes <= capacityBytes;
        if (fits) {
            heldBytes += additionalBytes;
        }
        return fits;
    }

    void release(long bytes) {
        heldBytes -= bytes;
    }

    /**
     * Gets the bytes that are held now.
     *
     * @return the number, not negative
     */
    public long heldBytes() {
        return heldBytes;
    }
}
