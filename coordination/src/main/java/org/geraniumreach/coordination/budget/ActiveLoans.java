package org.geraniumreach.coordination.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * The parts of a share in current loans, either given or taken.
 *
 * <p>Not safe for use by several threads.
 */
final class ActiveLoans {

    private final List<ActiveLoan> loans = new ArrayList<>();
    private long totalParts;

    /**
     * A current loan.
     *
     * @param parts the parts lent
     * @param expiresAt the time when it ends
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

    /** Gets the time when the next loan ends, or {@link Long#MAX_VALUE} without loans. */
    long nextExpiry() {
        long next = Long.MAX_VALUE;
        for (ActiveLoan entry : loans) {
            next = Math.min(next, entry.expiresAt());
        }
        return next;
    }

    /** Removes the loans that have ended. */
    void expire(long now) {
        if (loans.removeIf(entry -> entry.expiresAt() <= now)) {
            totalParts = loans.stream().mapToLong(ActiveLoan::parts).sum();
        }
    }
}
