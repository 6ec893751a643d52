package org.geraniumreach.gateway.adapter;

import java.util.Objects;
import java.util.Optional;

/**
 * A stored row that names the entry which may order a target; the row's version is the holder's fence.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the entry's instance
 * @param incarnation the start of the entry's process that took the target over
 */
public record HolderRow(String node, long incarnation) {

    public HolderRow {
        Objects.requireNonNull(node, "node");
    }

    /**
     * Writes the row.
     *
     * @return its text, not null
     */
    public String toText() {
        return node + ' ' + incarnation;
    }

    /**
     * Reads a row.
     *
     * @param text the text, not null
     * @return the row, or empty if the text is not one
     */
    public static Optional<HolderRow> parse(String text) {
        String[] words = text.split(" ");
        if (words.length != 2 || words[0].isEmpty() || !words[1].matches("-?\\d{1,18}")) {
            return Optional.empty();
        }
        return Optional.of(new HolderRow(words[0], Long.parseLong(words[1])));
    }
}
