package org.geraniumreach.node;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.table.RowKey;

/**
 * The stored row that tells the other entries how to reach an entry.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param linkAddress the address on which the entry accepts links from other entries
 * @param incarnation identifies one start of the entry's process
 */
record EntryRow(InetSocketAddress linkAddress, long incarnation) {

    private static final String PREFIX = "entry/";

    EntryRow {
        Objects.requireNonNull(linkAddress, "linkAddress");
    }

    static boolean isEntryRow(String key) {
        return key.startsWith(PREFIX);
    }

    static RowKey key(String table, String instance) {
        return RowKey.of(table, PREFIX + instance);
    }

    static String instance(String key) {
        return key.substring(PREFIX.length());
    }

    String toText() {
        return linkAddress.getAddress().getHostAddress() + ' ' + linkAddress.getPort() + ' ' + incarnation;
    }

    /** Parses a row; empty if the text is malformed. */
    static Optional<EntryRow> parse(String text) {
        String[] words = text.split(" ");
        try {
            boolean isAddress = words.length == 3 && words[0].matches("[0-9.]{7,15}");
            return isAddress
                    ? Optional.of(new EntryRow(
                            new InetSocketAddress(InetAddress.getByName(words[0]), Integer.parseInt(words[1])),
                            Long.parseLong(words[2])))
                    : Optional.empty();
        } catch (UnknownHostException | IllegalArgumentException unreadable) {
            return Optional.empty();
        }
    }
}
