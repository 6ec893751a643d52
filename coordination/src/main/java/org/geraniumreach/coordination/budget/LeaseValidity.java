package org.geraniumreach.coordination.budget;

/**
 * Tracks whether this entry may still spend the shares in its row.
 *
 * <p>Validity is extended by a successful commit on the row and by an instance list that contains the entry. Either
 * counts for a limited time from the moment before the call was made, and each spend checks it against a clock that
 * advances while the process is frozen. Invariant: once validity has expired, only a commit on the row restores it. An
 * entry that was long absent from the list may be listed again after its shares were taken over, so the list does not
 * restore it. Safe for use by several threads.
 */
public final class LeaseValidity {

    private final long validityNanos;
    private long validUntil = Long.MIN_VALUE;

    /**
     * Creates the state before the first commit on the row, in which the shares may not be spent.
     *
     * @param validityNanos how long a commit or listing keeps the shares valid
     */
    public LeaseValidity(long validityNanos) {
        this.validityNanos = validityNanos;
    }

    /**
     * Extends the validity after a successful commit on the row.
     *
     * @param sentAt a time before the commit was sent
     */
    public synchronized void onRenewed(long sentAt) {
        validUntil = Math.max(validUntil, sentAt + validityNanos);
    }

    /**
     * Extends the validity, unless expired, after a read of the instance list that contains this entry.
     *
     * @param requestedAt a time before the list was requested
     * @param now the current time
     */
    public synchronized void onListed(long requestedAt, long now) {
        if (isValid(now)) {
            validUntil = Math.max(validUntil, requestedAt + validityNanos);
        }
    }

    /** Ends the validity, as the row no longer belongs to this entry. */
    public synchronized void onLost() {
        validUntil = Long.MIN_VALUE;
    }

    /**
     * Queries whether the shares may be spent.
     *
     * @param now the current time
     * @return true if they may
     */
    public synchronized boolean isValid(long now) {
        return now <= validUntil;
    }
}
