package org.geraniumreach.coordination.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Parts of a share that change hands for a time.
 *
 * <p>Not safe for use by several threads.
 */
final class ActiveLoans {

    private final List<ActiveLoan> loans = new ArrayList<>();
    private long totalParts;

    /**
     * One loan.
     *
     * @param parts the parts
     * @param expiresAt when it ends
     */
    private record ActiveLoan(long parts, long expiresAt) {}

    void add(long parts, long until) {
        if (parts > 0) {
            loans.add(new ActiveLoan(parts, until));
            totalParts += parts;
        }
    }

    long totalParts() {
        return totalParts;
    }

    /** Gets when the next loan ends. */
    long nextExpiry() {
        long next = Long.MAX_VALUE;
        for (ActiveLoan entry : loans) {
            next = Math.min(next, entry.expiresAt());
        }
        return next;
    }

    /** Drops the loans that have ended. */
    void expire(long now) {
        if (loans.removeIf(entry -> entry.expiresAt() <= now)) {
            totalParts = loans.stream().mapToLong(ActiveLoan::parts).sum();
        }
    }
}
