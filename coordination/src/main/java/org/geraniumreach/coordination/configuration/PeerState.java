package org.geraniumreach.coordination.configuration;

import java.util.Optional;

/**
 * The state that a configuration node keeps for one open link.
 *
 * <p>Invariant: each new link gets a new state, so the timestamp of an earlier process is never echoed. Not safe for use by
 * several threads.
 */
final class PeerState {

    private final boolean isEntry;
    private final long linkOpenedAt;
    private long heldRevision;
    private boolean hasTimestamp;
    private long latestTimestamp;
    private long timestampReceivedAt;
    private long confirmedRevision;
    private long confirmedAt = Freshness.NEVER;
    private long sentConfirmedAt = Freshness.NEVER;
    private long changesSentAt = Freshness.NEVER;

    PeerState(boolean isEntry, long linkOpenedAt) {
        this.isEntry = isEntry;
        this.linkOpenedAt = linkOpenedAt;
    }

    boolean isEntry() {
        return isEntry;
    }

    long heldRevision() {
        return heldRevision;
    }

    void recordHeldRevision(long revision) {
        heldRevision = Math.max(heldRevision, revision);
    }

    void recordTimestamp(long timestamp, long now) {
        if (!hasTimestamp || timestamp > latestTimestamp) {
            hasTimestamp = true;
            latestTimestamp = timestamp;
            timestampReceivedAt = now;
        }
    }

    Optional<NodeMessage.TimestampEcho> echo(long now) {
        return hasTimestamp
                ? Optional.of(new NodeMessage.TimestampEcho(latestTimestamp, now - timestampReceivedAt))
                : Optional.empty();
    }

    /**
     * Computes a lower bound of the time when a heartbeat was sent.
     *
     * @param echo this process's timestamp that the heartbeat echoes, not null
     * @param now the current time
     * @return a time not later than the sending, or empty if no bound is known
     */
    Optional<Long> earliestSendTime(Optional<NodeMessage.TimestampEcho> echo, long now) {
        /* A heartbeat may wait in buffers for any time while the network or this process is stalled. Counting its age from
         * its arrival would make an old confirmation look new; counting from the echoed timestamp can only overestimate it. */
        return echo.filter(received -> received.heldNanos() >= 0 && received.timestamp() >= linkOpenedAt)
                .map(received -> received.timestamp() + received.heldNanos())
                .filter(bound -> bound <= now);
    }

    void recordConfirmation(long revision, long at) {
        if (at > confirmedAt) {
            confirmedRevision = revision;
            confirmedAt = at;
        }
    }

    /**
     * Gets the time of the peer's confirmation, if it covers a revision.
     *
     * @param revision the revision
     * @return when the peer's configuration was confirmed, or {@link Freshness#NEVER} if the revision is older
     */
    long confirmationFor(long revision) {
        return revision >= confirmedRevision ? confirmedAt : Freshness.NEVER;
    }

    long knownConfirmedAt() {
        return Math.max(sentConfirmedAt, confirmedAt);
    }

    void recordConfirmationSent(long at) {
        sentConfirmedAt = at;
    }

    boolean maySendChanges(long now, long intervalNanos) {
        return now - changesSentAt >= intervalNanos;
    }

    void recordChangesSent(long now) {
        changesSentAt = now;
    }
}
