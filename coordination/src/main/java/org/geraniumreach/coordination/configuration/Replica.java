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
 * <p>Invariants: the revision never falls; entries are applied one apart, so a delayed, repeated or reordered message can
 * neither revert the configuration nor skip a change; entries that came early are kept, up to a limit, until those before
 * them are there. Not safe for use by several threads.
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
     * Gets the highest revision that this instance knows to be in the log.
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
     * Takes entries of the log in any order and applies those that follow one another from the revision on.
     *
     * @param entries the entries, not null
     * @return the entries applied, in their order, not null
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
     * Takes a snapshot unless it is no newer than what is there.
     *
     * @param snapshot the snapshot, not null
     * @return true if it is in force now
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
     * Gets the entries that follow a revision, if this copy still holds all of them.
     *
     * @param after the revision
     * @return the entries in their order, or empty if some are no longer held
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
