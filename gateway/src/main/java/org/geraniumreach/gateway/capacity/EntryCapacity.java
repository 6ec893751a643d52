package org.geraniumreach.gateway.capacity;

import org.geraniumreach.serving.routing.Rendezvous;

/**
 * Tells how much processor time each entry has.
 *
 * <p>Intended for fleets of unlike instances: duties that an entry has for others are given to those that can bear them. Confined to the event
 * loop.
 */
@FunctionalInterface
public interface EntryCapacity {

    /**
     * Gets an entry's capacity.
     *
     * @param entry its instance, not null
     * @return the capacity in processor cores, above 0; 1 for an entry that has not said
     */
    double of(String entry);

    /**
     * Obtains capacities of entries that are alike.
     *
     * @return the capacities, not null
     */
    static EntryCapacity alike() {
        return entry -> 1;
    }

    /**
     * Ranks an entry for a duty by weighted rendezvous hashing: of many duties each entry is the first for a part in proportion to its capacity, and a
     * change of one entry's capacity moves only its own.
     *
     * @param duty the duty's name, not null
     * @param entry the entry's instance, not null
     * @return the rank; the lowest is the first choice
     */
    default double rank(String duty, String entry) {
        double range = 1L << Integer.SIZE;
        double aboveLeast = (double) Rendezvous.hash(duty + ' ' + entry) - Integer.MIN_VALUE;
        return -Math.log((range - aboveLeast - 0.5) / range) / of(entry);
    }
}
