package org.geraniumreach.coordination.budget;

/**
 * Whether this entry may still spend the shares that its row holds.
 *
 * <p>Two things prove it: a commit on the row that succeeded, and a reading of the instance list that shows the entry. Either
 * counts from before it was asked for, and for a limited time, checked at each spend against a clock that goes on while the
 * process is frozen. Invariant: once the proof has lapsed only a commit on the row restores it. An entry that was off the
 * list for long may be listed again after its shares were taken back, so being listed proves nothing then. Safe for use by
 * several threads.
 */
public final class HoldingProof {

    private final long validityNanos;
    private long validUntil = Long.MIN_VALUE;

    /**
     * Makes a proof that does not hold.
     *
     * @param limitNanos how long each proof counts
     */
    public HoldingProof(long limitNanos) {
        this.validityNanos = limitNanos;
    }

    /**
     * Tells that a commit on the row has succeeded.
     *
     * @param sentAt the time before it was sent
     */
    public synchronized void renewed(long sentAt) {
        validUntil = Math.max(validUntil, sentAt + validityNanos);
    }

    /**
     * Tells that the list shows this entry.
     *
     * @param askedAt the time before the list was asked for
     * @param now the time
     */
    public synchronized void onListed(long askedAt, long now) {
        if (isValid(now)) {
            validUntil = Math.max(validUntil, askedAt + validityNanos);
        }
    }

    /** Tells that the row is not this entry's any more. */
    public synchronized void onLost() {
        validUntil = Long.MIN_VALUE;
    }

    /**
     * Queries whether the shares may be spent.
     *
     * @param now the time
     * @return true if they may
     */
    public synchronized boolean isValid(long now) {
        return now <= validUntil;
    }
}
