package org.geraniumreach.node;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Objects;
import java.util.Optional;

import io.netty.util.NetUtil;
import org.geraniumreach.model.InstanceId;
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

    /**
     * Gets the entry that a row is about.
     *
     * @throws IllegalArgumentException if the key names none
     */
    static String instance(String key) {
        return InstanceId.of(key.substring(PREFIX.length())).value();
    }

    String toText() {
        return linkAddress.getAddress().getHostAddress() + ' ' + linkAddress.getPort() + ' ' + incarnation;
    }

    /** Parses a row; empty if the text is malformed. */
    static Optional<EntryRow> parse(String text) {
        String[] words = text.split(" ");
        try {
            // The address of a text that is no address would be looked up by its name.
            boolean isAddress = words.length == 3 && NetUtil.isValidIpV4Address(words[0]);
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
