package org.geraniumreach.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.geraniumreach.model.InstanceId;

/**
 * Decides until when the configuration may be taken as current.
 *
 * <p>It may while (a) it was confirmed, by a reading of the head here or at a peer, within the limit, or (b) every listed
 * entry said within the limit that the store is out of its reach. Since changes pass through entries only, and a change is
 * told to another entry before it is called accepted, a group for which (b) holds cannot have missed an accepted one; an
 * entry that is cut off hears nothing from the rest, and stops.
 *
 * <p>Invariants: times are this process's clock, and never later than what they stand for; the limit is an absolute time,
 * so a process that was frozen finds it passed when it goes on. Not safe for use by several threads.
 */
final class Freshness {

    /** A time before every other. */
    static final long NEVER = Long.MIN_VALUE / 4;

    private final InstanceId self;
    private final long limitNanos;
    private final Map<InstanceId, Long> unreachableReportedAt = new HashMap<>();
    private final Map<InstanceId, Long> reachableReportedAt = new HashMap<>();
    private Set<InstanceId> entries = Set.of();
    private long confirmedAt = NEVER;

    Freshness(InstanceId self, long limitNanos) {
        this.self = self;
        this.limitNanos = limitNanos;
    }

    void setEntries(Set<InstanceId> listedEntries) {
        entries = Set.copyOf(listedEntries);
        unreachableReportedAt.keySet().retainAll(entries);
        reachableReportedAt.keySet().retainAll(entries);
    }

    /**
     * Takes a confirmation.
     *
     * @param at a time, at which the log held nothing that is not in force here
     */
    void recordConfirmation(long at) {
        confirmedAt = Math.max(confirmedAt, at);
    }

    long confirmedAt() {
        return confirmedAt;
    }

    OptionalLong confirmationAgeNanos(long now) {
        return confirmedAt == NEVER ? OptionalLong.empty() : OptionalLong.of(now - confirmedAt);
    }

    /**
     * Takes an entry's word that the store is out of its reach.
     *
     * @param entry the entry, not null
     * @param at a time not later than when it said so
     */
    void recordUnreachable(InstanceId entry, long at) {
        unreachableReportedAt.merge(entry, at, Math::max);
    }

    /**
     * Takes an entry's word that it reaches the store.
     *
     * @param entry the entry, not null
     * @param at a time not later than when it said so
     */
    void recordReachable(InstanceId entry, long at) {
        reachableReportedAt.merge(entry, at, Math::max);
    }

    /**
     * Gets the words to hand on.
     *
     * @param now the time
     * @return the words within the limit, not null
     */
    List<NodeMessage.Word> unreachableReports(long now) {
        List<NodeMessage.Word> words = new ArrayList<>();
        unreachableReportedAt.forEach((entry, at) -> {
            if (now - at < limitNanos && at > reachableReportedAt.getOrDefault(entry, NEVER)) {
                words.add(new NodeMessage.Word(entry, now - at));
            }
        });
        return words;
    }

    /**
     * Gets until when the configuration may be taken as current.
     *
     * @param behind whether a newer revision was heard of
     * @param unreachable whether the store is out of this process's reach
     * @param now the time
     * @return the time, which may have passed, and is at most the limit from now
     */
    long freshUntil(boolean behind, boolean unreachable, long now) {
        long confirmed = confirmedAt == NEVER ? NEVER : confirmedAt + limitNanos;
        if (behind || !unreachable) {
            return confirmed;
        }
        return Math.max(confirmed, Math.min(freshUntilByReports(), now + limitNanos));
    }

    private long freshUntilByReports() {
        long oldest = Long.MAX_VALUE;
        for (InstanceId entry : entries) {
            if (entry.equals(self)) {
                continue;
            }
            long said = unreachableReportedAt.getOrDefault(entry, NEVER);
            if (said <= reachableReportedAt.getOrDefault(entry, NEVER)) {
                return NEVER;
            }
            oldest = Math.min(oldest, said);
        }
        if (oldest == Long.MAX_VALUE) {
            return entries.contains(self) ? Long.MAX_VALUE : NEVER;
        }
        return oldest + limitNanos;
    }
}
