package org.geraniumreach.coordination.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Parts of a share that change hands for a time.
 *
 * <p>Not safe for use by several threads.
 */
final class LoanBook {

    private final List<Entry> entries = new ArrayList<>();
    private long sum;

    /**
     * One loan.
     *
     * @param parts the parts
     * @param until when it ends
     */
    private record Entry(long parts, long until) {}

    void add(long parts, long until) {
        if (parts > 0) {
            entries.add(new Entry(parts, until));
            sum += parts;
        }
    }

    long sum() {
        return sum;
    }

    /** Gets when the next loan ends. */
    long nextEnd() {
        long next = Long.MAX_VALUE;
        for (Entry entry : entries) {
            next = Math.min(next, entry.until());
        }
        return next;
    }

    /** Drops the loans that have ended. */
    void expire(long now) {
        if (entries.removeIf(entry -> entry.until() <= now)) {
            sum = entries.stream().mapToLong(Entry::parts).sum();
        }
    }
}
