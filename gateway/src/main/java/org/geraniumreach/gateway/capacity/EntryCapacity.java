package org.geraniumreach.gateway.capacity;

import java.util.Collection;

import org.geraniumreach.serving.routing.Rendezvous;

/**
 * Processor capacities of the entries.
 *
 * <p>Intended for fleets of unequal instances: tasks that one entry performs for all are assigned by capacity. Confined to the event loop.
 */
@FunctionalInterface
public interface EntryCapacity {

    /**
     * Returns an entry's capacity.
     *
     * @param entry the entry's instance, not null
     * @return the capacity in processor cores, above 0; 1 for an entry that has not reported it
     */
    double of(String entry);

    /**
     * Returns capacities that are equal for all entries.
     *
     * @return the capacities, not null
     */
    static EntryCapacity uniform() {
        return entry -> 1;
    }

    /**
     * Ranks an entry for a task by weighted rendezvous hashing: each entry is ranked first for a share of the tasks in proportion to its
     * capacity, and a change of one entry's capacity moves only tasks to or from that entry.
     *
     * @param task the task's name, not null
     * @param entry the entry's instance, not null
     * @return the rank; the entry with the lowest is the first choice
     */
    default double rank(String task, String entry) {
        double range = 1L << Integer.SIZE;
        double unsignedHash = (double) Rendezvous.hash(task + ' ' + entry) - Integer.MIN_VALUE;
        return -Math.log((range - unsignedHash - 0.5) / range) / of(entry);
    }

    /**
     * Counts the entries that rank before an entry for a task; those of equal rank are ordered by name.
     *
     * @param task the task's name, not null
     * @param entry the entry's instance, not null
     * @param entries the instances of all entries, which may include this one, not null
     * @return the number, 0 if the entry is the first choice
     */
    default int countAhead(String task, String entry, Collection<String> entries) {
        double own = rank(task, entry);
        return (int) entries.stream()
                .filter(other -> !other.equals(entry))
                .filter(other -> {
                    double rank = rank(task, other);
                    return rank == own ? other.compareTo(entry) < 0 : rank < own;
                })
                .count();
    }
}
