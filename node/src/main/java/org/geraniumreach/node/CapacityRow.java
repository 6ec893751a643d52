package org.geraniumreach.node;

import java.util.Optional;

import org.geraniumreach.model.table.RowKey;

/**
 * The stored row of an entry's capacity, apart from {@link EntryRow}, which entries of earlier versions read.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class CapacityRow {

    private static final String PREFIX = "capacity/";

    private CapacityRow() {}

    static boolean isCapacityRow(String key) {
        return key.startsWith(PREFIX);
    }

    static RowKey key(String table, String instance) {
        return RowKey.of(table, PREFIX + instance);
    }

    static String instance(String key) {
        return key.substring(PREFIX.length());
    }

    /** Writes a capacity in processor cores. */
    static String toText(double cores) {
        return Double.toString(cores);
    }

    /** Reads a capacity, empty if the text is none above zero. */
    static Optional<Double> parse(String text) {
        try {
            double cores = Double.parseDouble(text);
            return cores > 0 && Double.isFinite(cores) ? Optional.of(cores) : Optional.empty();
        } catch (NumberFormatException unreadable) {
            return Optional.empty();
        }
    }
}
