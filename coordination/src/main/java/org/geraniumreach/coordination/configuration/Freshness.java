package org.geraniumreach.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.geraniumreach.model.InstanceId;

/**
 * Computes the time until which the configuration counts as current.
 *
 * <p>The configuration is current while (a) a read of the head, by this instance or a peer, confirmed it within the limit,
 * or (b) every listed entry reported within the limit that it cannot reach the store. Changes are made through entries only,
 * and a change is sent to another entry before it is reported as accepted. Instances for which (b) holds therefore cannot
 * have missed an accepted change. An isolated entry receives no reports from the others and becomes stale.
 *
 * <p>Invariants: all times are readings of this process's clock and never later than the event they stand for; the result
 * is an absolute time, so a process that was suspended finds it passed when it resumes. Not safe for use by several threads.
 */
final class Freshness {

    /** A time before all others. */
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
     * Records that the configuration was current at a time.
     *
     * @param at a time at which the log held no change that is missing here
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
     * Records an entry's report that it cannot reach the store.
     *
     * @param entry the entry, not null
     * @param at a time not later than the report
     */
    void recordUnreachable(InstanceId entry, long at) {
        unreachableReportedAt.merge(entry, at, Math::max);
    }

    /**
     * Records an entry's report that it can reach the store.
     *
     * @param entry the entry, not null
     * @param at a time not later than the report
     */
    void recordReachable(InstanceId entry, long at) {
        reachableReportedAt.merge(entry, at, Math::max);
    }

    /**
     * Gets the reports to forward to peers.
     *
     * @param now the current time
     * @return the reports within the limit that no later report of reachability supersedes, not null
     */
    List<NodeMessage.UnreachableReport> unreachableReports(long now) {
        List<NodeMessage.UnreachableReport> reports = new ArrayList<>();
        unreachableReportedAt.forEach((entry, at) -> {
            if (now - at < limitNanos && at > reachableReportedAt.getOrDefault(entry, NEVER)) {
                reports.add(new NodeMessage.UnreachableReport(entry, now - at));
            }
        });
        return reports;
    }

    /**
     * Computes the time until which the configuration counts as current.
     *
     * @param isBehind whether a newer revision is known
     * @param isUnreachable whether this process cannot reach the store
     * @param now the current time
     * @return the time, possibly in the past, and at most the limit from now
     */
    long freshUntil(boolean isBehind, boolean isUnreachable, long now) {
        long freshByConfirmation = confirmedAt == NEVER ? NEVER : confirmedAt + limitNanos;
        if (isBehind || !isUnreachable) {
            return freshByConfirmation;
        }
        return Math.max(freshByConfirmation, Math.min(freshUntilByReports(), now + limitNanos));
    }

    private long freshUntilByReports() {
        long oldest = Long.MAX_VALUE;
        for (InstanceId entry : entries) {
            if (entry.equals(self)) {
                continue;
            }
            long reportedAt = unreachableReportedAt.getOrDefault(entry, NEVER);
            if (reportedAt <= reachableReportedAt.getOrDefault(entry, NEVER)) {
                return NEVER;
            }
            oldest = Math.min(oldest, reportedAt);
        }
        if (oldest == Long.MAX_VALUE) {
            return entries.contains(self) ? Long.MAX_VALUE : NEVER;
        }
        return oldest + limitNanos;
    }
}
