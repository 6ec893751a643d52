package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * The adapters that requests run for at one target, as each entry last reported.
 *
 * <p>Invariant: what an entry reported counts until its next report, and no longer than {@link #LIFETIME}. Confined to the event loop.
 */
final class RunningAdapters {

    /** Two reports of an entry may be lost. */
    static final Duration LIFETIME = UsageReports.RENEWAL_INTERVAL.multipliedBy(3);

    private final Map<String, Reported> byEntry = new HashMap<>();

    private record Reported(Set<AdapterName> running, long at) {}

    void reported(String entry, Set<AdapterName> running, long now) {
        if (running.isEmpty()) {
            byEntry.remove(entry);
        } else {
            byEntry.put(entry, new Reported(Set.copyOf(running), now));
        }
    }

    boolean contains(AdapterName adapter, long now) {
        return byEntry.values().stream()
                .anyMatch(reported -> now - reported.at() < LIFETIME.toNanos()
                        && reported.running().contains(adapter));
    }
}
