package org.geraniumreach.gateway.quota;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.geraniumreach.model.Names;

/**
 * The stored row of one account: the parts of its rate that each entry has, and the additional parts that it wants.
 *
 * <p>Invariant: no entry's parts are negative, and their sum is at most {@link #TOTAL_PARTS}. Immutable and safe for use by
 * several threads.
 *
 * @param shares the shares by entry instance
 */
public record ShareRow(Map<String, Share> shares) {

    /** The number of parts into which a rate is divided. */
    public static final int TOTAL_PARTS = 1_000;

    /**
     * One entry's share.
     *
     * @param parts the parts that the entry has
     * @param wanted the additional parts that it wants, 0 if none
     */
    public record Share(int parts, int wanted) {

        public Share {
            if (parts < 0 || parts > TOTAL_PARTS || wanted < 0 || wanted > TOTAL_PARTS) {
                throw new IllegalArgumentException("parts outside 0 to " + TOTAL_PARTS + ": " + parts + ", " + wanted);
            }
        }
    }

    public ShareRow {
        shares = Map.copyOf(shares);
        if (shares.values().stream().mapToInt(Share::parts).sum() > TOTAL_PARTS) {
            throw new IllegalArgumentException("sum of parts above " + TOTAL_PARTS + ": " + shares);
        }
    }

    /**
     * Obtains the row without shares.
     *
     * @return the row, not null
     */
    public static ShareRow empty() {
        return new ShareRow(Map.of());
    }

    /**
     * Gets an entry's share.
     *
     * @param entry the entry's instance, not null
     * @return the share, with 0 parts if it has none, not null
     */
    public Share share(String entry) {
        return shares.getOrDefault(entry, new Share(0, 0));
    }

    /**
     * Gets the number of parts that no entry has.
     *
     * @return the number of free parts
     */
    public int freeParts() {
        return TOTAL_PARTS - shares.values().stream().mapToInt(Share::parts).sum();
    }

    /**
     * Gets the number of parts that the other entries want.
     *
     * @param entry the instance of the entry that is left out, not null
     * @return the sum of the wanted parts
     */
    public int wantedByOthers(String entry) {
        return shares.entrySet().stream()
                .filter(share -> !share.getKey().equals(entry))
                .mapToInt(share -> share.getValue().wanted())
                .sum();
    }

    /**
     * Returns a copy with an entry's share replaced or added.
     *
     * @param entry the entry's instance, not null
     * @param share its new share, not null
     * @return the copy, not null
     */
    public ShareRow with(String entry, Share share) {
        Map<String, Share> changed = new TreeMap<>(shares);
        changed.put(Objects.requireNonNull(entry, "entry"), share);
        return new ShareRow(changed);
    }

    /**
     * Returns a copy without an entry's share.
     *
     * @param entry the entry's instance, not null
     * @return the copy, not null
     */
    public ShareRow without(String entry) {
        Map<String, Share> changed = new TreeMap<>(shares);
        changed.remove(entry);
        return new ShareRow(changed);
    }

    /**
     * Formats the row for the store: a line with instance, parts and wanted parts for each entry.
     *
     * @return the text, not null
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(shares).forEach((entry, share) -> text.append(entry)
                .append(' ')
                .append(share.parts())
                .append(' ')
                .append(share.wanted())
                .append('\n'));
        return text.toString();
    }

    /**
     * Parses a row formatted by {@link #toText}.
     *
     * @param text the text, not null
     * @return the row, or empty if the text is malformed, not null
     */
    public static Optional<ShareRow> parse(String text) {
        Map<String, Share> shares = new TreeMap<>();
        try {
            for (String line : text.lines().toList()) {
                String[] words = line.split(" ");
                shares.put(
                        Names.requireName("instance", words[0]),
                        new Share(Integer.parseInt(words[1]), Integer.parseInt(words[2])));
            }
            return Optional.of(new ShareRow(shares));
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException unreadable) {
            return Optional.empty();
        }
    }
}
