package org.geraniumreach.coordination.configuration;

import java.util.Optional;

/**
 * What a configuration node keeps of one open link.
 *
 * <p>Invariant: a new link starts anew, so a stamp of an earlier process is never sent back. Not safe for use by several
 * threads.
 */
final class PeerState {

    private final boolean entry;
    private final long openedAt;
    private long revision;
    private boolean stamped;
    private long stamp;
    private long stampedAt;
    private long candidateRevision;
    private long candidateAt = Freshness.NEVER;
    private long toldConfirmedAt = Freshness.NEVER;
    private long repairedAt = Freshness.NEVER;

    PeerState(boolean entry, long openedAt) {
        this.entry = entry;
        this.openedAt = openedAt;
    }

    boolean isEntry() {
        return entry;
    }

    long revision() {
        return revision;
    }

    void holds(long heldRevision) {
        revision = Math.max(revision, heldRevision);
    }

    void received(long newStamp, long now) {
        if (!stamped || newStamp > stamp) {
            stamped = true;
            stamp = newStamp;
            stampedAt = now;
        }
    }

    Optional<NodeMessage.Echo> echo(long now) {
        return stamped ? Optional.of(new NodeMessage.Echo(stamp, now - stampedAt)) : Optional.empty();
    }

    /**
     * Works out when a note was sent.
     *
     * @param echo this process's stamp that the note sends back, not null
     * @param now the time
     * @return a time not later than the note's sending, or empty if nothing is known of it
     */
    Optional<Long> sentNotBefore(Optional<NodeMessage.Echo> echo, long now) {
        /* A note may wait in buffers for any time, while the network or this process stands still. Its age counted from its
         * arrival would make an old confirmation look new. Counted from the stamp that it sends back, it errs only to the
         * safe side. */
        return echo.filter(back -> back.held() >= 0 && back.stamp() >= openedAt)
                .map(back -> back.stamp() + back.held())
                .filter(bound -> bound <= now);
    }

    void offers(long confirmedRevision, long confirmedAt) {
        if (confirmedAt > candidateAt) {
            candidateRevision = confirmedRevision;
            candidateAt = confirmedAt;
        }
    }

    /**
     * Gets the peer's confirmation, if it covers a revision.
     *
     * @param heldRevision the revision
     * @return when the peer's configuration was confirmed, or never
     */
    long confirmationFor(long heldRevision) {
        return heldRevision >= candidateRevision ? candidateAt : Freshness.NEVER;
    }

    long knownConfirmedAt() {
        return Math.max(toldConfirmedAt, candidateAt);
    }

    void told(long confirmedAt) {
        toldConfirmedAt = confirmedAt;
    }

    boolean mayRepair(long now, long interval) {
        return now - repairedAt >= interval;
    }

    void repaired(long now) {
        repairedAt = now;
    }
}
