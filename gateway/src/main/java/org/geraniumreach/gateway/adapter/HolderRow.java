package org.geraniumreach.gateway.adapter;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.Names;

/**
 * A stored row that names the entry that owns a target; the row's version is the owner's fencing token.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the entry's instance
 * @param incarnation the incarnation of the entry's process that claimed the target
 */
public record HolderRow(String node, long incarnation) {

    public HolderRow {
        Objects.requireNonNull(node, "node");
    }

    /**
     * Formats the row.
     *
     * @return the stored text, not null
     */
    public String toText() {
        return node + ' ' + incarnation;
    }

    /**
     * Parses a row.
     *
     * @param text the stored text, not null
     * @return the row, or empty if the text is malformed
     */
    public static Optional<HolderRow> parse(String text) {
        String[] fields = text.split(" ");
        if (fields.length != 2 || !Names.isName(fields[0]) || !fields[1].matches("-?\\d{1,18}")) {
            return Optional.empty();
        }
        return Optional.of(new HolderRow(fields[0], Long.parseLong(fields[1])));
    }
}
