package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * The adapters that requests run for at one target, as each entry last reported.
 *
 * <p>Invariant: what an entry reported counts until its next report, and no longer than {@link #REPORT_LIFETIME}. Confined to the event loop.
 */
final class RunningAdapters {

    /** Two reports of an entry may be lost. */
    static final Duration REPORT_LIFETIME = UsageReports.RENEWAL_INTERVAL.multipliedBy(3);

    private final Map<String, EntryReport> byEntry = new HashMap<>();

    private record EntryReport(Set<AdapterName> running, long reportedAt) {}

    void update(String entry, Set<AdapterName> running, long now) {
        if (running.isEmpty()) {
            byEntry.remove(entry);
        } else {
            byEntry.put(entry, new EntryReport(Set.copyOf(running), now));
        }
    }

    boolean contains(AdapterName adapter, long now) {
        return byEntry.values().stream()
                .anyMatch(reported -> now - reported.reportedAt() < REPORT_LIFETIME.toNanos()
                        && reported.running().contains(adapter));
    }
}
