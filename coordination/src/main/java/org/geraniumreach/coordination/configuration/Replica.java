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

    private static final int EARLY_LIMIT = 1024;

    private final TreeMap<Long, LogEntry> early = new TreeMap<>();
    private final Deque<LogEntry> recent = new ArrayDeque<>();
    private final int recentLimit;
    private Configuration configuration = Configuration.empty();
    private long highestHeard;

    Replica(int recentLimit) {
        this.recentLimit = recentLimit;
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
    long highestHeard() {
        return Math.max(highestHeard, revision());
    }

    void heardOf(long revision) {
        highestHeard = Math.max(highestHeard, revision);
    }

    boolean isBehind() {
        return highestHeard() > revision();
    }

    /**
     * Takes entries of the log in any order and applies those that follow one another from the revision on.
     *
     * @param entries the entries, not null
     * @return the entries applied, in their order, not null
     */
    List<LogEntry> take(Collection<LogEntry> entries) {
        for (LogEntry entry : entries) {
            heardOf(entry.revision());
            if (entry.revision() > revision()) {
                early.putIfAbsent(entry.revision(), entry);
            }
        }
        List<LogEntry> next = new ArrayList<>();
        while (!early.isEmpty() && early.firstKey() == revision() + next.size() + 1) {
            next.add(early.pollFirstEntry().getValue());
        }
        while (early.size() > EARLY_LIMIT) {
            early.pollLastEntry();
        }
        if (!next.isEmpty()) {
            configuration = configuration.plus(next);
            next.forEach(this::remember);
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
        heardOf(snapshot.revision());
        recent.clear();
        early.headMap(snapshot.revision(), true).clear();
        return true;
    }

    private void remember(LogEntry entry) {
        recent.addLast(entry);
        if (recent.size() > recentLimit) {
            recent.removeFirst();
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
        if (recent.isEmpty() || recent.peekFirst().revision() > after + 1) {
            return Optional.empty();
        }
        return Optional.of(
                recent.stream().filter(entry -> entry.revision() > after).toList());
    }
}
