package org.geraniumreach.gateway.store;

import java.util.Collection;
import java.util.Objects;

import org.geraniumreach.gateway.capacity.EntryCapacity;

/**
 * Selects the entries of a failure domain that read the store for all of them.
 *
 * <p>Each entry decides from the links that it has, without agreeing with the others: two that see different peers may both read, or
 * neither, and who gets no updates reads for itself. Stateless and safe for use by several threads.
 */
public final class ReaderSelection {

    /** With two, the loss of one is no gap for the others. */
    static final int READER_COUNT = 2;

    private static final String RANK_SUBJECT = "reader";

    private ReaderSelection() {}

    /**
     * Queries whether an entry is among the readers.
     *
     * @param self the entry, not null
     * @param others the entries of its failure domain that it has links with, not null
     * @param capacity the entries' capacities, since a reader passes on what it reads, not null
     * @return true if it is
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
