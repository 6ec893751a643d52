package org.geraniumreach.gateway.store;

import java.util.Collection;
import java.util.Objects;

import org.geraniumreach.gateway.capacity.EntryCapacity;

/**
 * Selects the entries of a failure domain that read the store for all of them.
 *
 * <p>Each entry decides by the links that it has, without agreement with the others. If entries see different peers, more or
 * fewer than {@link #READER_COUNT} may read; an entry that receives no updates reads for itself. Stateless and safe for use
 * by several threads.
 */
public final class ReaderSelection {

    /** With two readers, the other entries keep receiving updates when one is lost. */
    static final int READER_COUNT = 2;

    private static final String RANK_SUBJECT = "reader";

    private ReaderSelection() {}

    /**
     * Queries whether an entry is among the readers.
     *
     * @param self the entry's instance, not null
     * @param others the entries of its failure domain to which it has links, not null
     * @param capacity the entries' capacities, which count because readers send updates to all others, not null
     * @return true if the entry is a reader
     */
    public static boolean isReader(String self, Collection<String> others, EntryCapacity capacity) {
        Objects.requireNonNull(others, "others");
        long ahead = others.stream()
                .filter(other -> ranksBefore(other, self, capacity))
                .count();
        return ahead < READER_COUNT;
    }

    private static boolean ranksBefore(String one, String other, EntryCapacity capacity) {
        int order = Double.compare(capacity.rank(RANK_SUBJECT, one), capacity.rank(RANK_SUBJECT, other));
        return order == 0 ? one.compareTo(other) < 0 : order < 0;
    }
}
