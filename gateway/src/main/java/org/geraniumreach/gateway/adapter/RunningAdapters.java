package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * The adapters used by running requests at one target, as last reported by each entry.
 *
 * <p>Invariant: an entry's report is valid until its next one, and no longer than {@link #REPORT_LIFETIME}. Confined to the event loop.
 */
final class RunningAdapters {

    /** Allows for two lost reports of an entry. */
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
                .anyMatch(report -> now - report.reportedAt() < REPORT_LIFETIME.toNanos()
                        && report.running().contains(adapter));
    }
}
