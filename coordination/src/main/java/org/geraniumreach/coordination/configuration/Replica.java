package org.geraniumreach.coordination.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;

/**
 * One instance's copy of the configuration.
 *
 * <p>Invariants: the revision never decreases; entries are applied in revision order without gaps, so a delayed, repeated
 * or reordered message can neither revert the configuration nor skip a change; entries that arrive early are kept, up to a
 * limit, until the entries before them arrive. Not safe for use by several threads.
 */
final class Replica {

    private static final int MAX_PENDING_ENTRIES = 1024;

    private final TreeMap<Long, LogEntry> pendingEntries = new TreeMap<>();
    private final Deque<LogEntry> recentEntries = new ArrayDeque<>();
    private final int maxRecentEntries;
    private Configuration configuration = Configuration.empty();
    private long highestKnownRevision;

    Replica(int recentLimit) {
        this.maxRecentEntries = recentLimit;
    }

    Configuration configuration() {
        return configuration;
    }

    long revision() {
        return configuration.revision();
    }

    /**
     * Gets the highest revision that is known to be in the log.
     *
     * @return the revision, at least {@link #revision}
     */
    long highestKnownRevision() {
        return Math.max(highestKnownRevision, revision());
    }

    void recordKnownRevision(long revision) {
        highestKnownRevision = Math.max(highestKnownRevision, revision);
    }

    boolean isBehind() {
        return highestKnownRevision() > revision();
    }

    /**
     * Accepts log entries in any order and applies those that continue the current revision without a gap.
     *
     * @param entries the entries, not null
     * @return the applied entries in revision order, not null
     */
    List<LogEntry> applyInOrder(Collection<LogEntry> entries) {
        for (LogEntry entry : entries) {
            recordKnownRevision(entry.revision());
            if (entry.revision() > revision()) {
                pendingEntries.putIfAbsent(entry.revision(), entry);
            }
        }
        List<LogEntry> next = new ArrayList<>();
        while (!pendingEntries.isEmpty() && pendingEntries.firstKey() == revision() + next.size() + 1) {
            next.add(pendingEntries.pollFirstEntry().getValue());
        }
        while (pendingEntries.size() > MAX_PENDING_ENTRIES) {
            pendingEntries.pollLastEntry();
        }
        if (!next.isEmpty()) {
            configuration = configuration.plus(next);
            next.forEach(this::addRecent);
        }
        return next;
    }

    /**
     * Replaces the configuration by a snapshot if the snapshot is newer.
     *
     * @param snapshot the snapshot, not null
     * @return true if the configuration was replaced
     */
    boolean install(Configuration snapshot) {
        if (snapshot.revision() <= revision()) {
            return false;
        }
        configuration = snapshot;
        recordKnownRevision(snapshot.revision());
        recentEntries.clear();
        pendingEntries.headMap(snapshot.revision(), true).clear();
        return true;
    }

    private void addRecent(LogEntry entry) {
        recentEntries.addLast(entry);
        if (recentEntries.size() > maxRecentEntries) {
            recentEntries.removeFirst();
        }
    }

    /**
     * Gets the entries after a revision, if all of them are retained.
     *
     * @param after the revision
     * @return the entries in revision order, or empty if some are not retained
     */
    Optional<List<LogEntry>> entriesAfter(long after) {
        if (after >= revision()) {
            return Optional.of(List.of());
        }
        if (recentEntries.isEmpty() || recentEntries.peekFirst().revision() > after + 1) {
            return Optional.empty();
        }
        return Optional.of(
                recentEntries.stream().filter(entry -> entry.revision() > after).toList());
    }
}
