package org.geraniumreach.node;

import java.util.Optional;

import org.geraniumreach.model.table.RowKey;

/**
 * Format of the stored row that holds an entry's capacity.
 *
 * <p>Separate from {@link EntryRow}, since entries of earlier versions must still be able to read that row.
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

    /** Formats a capacity in processor cores. */
    static String toText(double cores) {
        return Double.toString(cores);
    }

    /** Parses a capacity in processor cores; empty if the text is not a finite number above zero. */
    static Optional<Double> parse(String text) {
        try {
            double cores = Double.parseDouble(text);
            return cores > 0 && Double.isFinite(cores) ? Optional.of(cores) : Optional.empty();
        } catch (NumberFormatException unreadable) {
            return Optional.empty();
        }
    }
}
