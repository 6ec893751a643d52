package org.geraniumreach.gateway.quota;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The stored row of one account: which entry has how many parts of its rate, and how many it wants.
 *
 * <p>Invariant: the parts are not negative and together at most {@link #TOTAL_PARTS}. Immutable and safe for use by several
 * threads.
 *
 * @param shares the shares by the entries' instances
 */
public record ShareRow(Map<String, Share> shares) {

    /** The parts of a whole rate. */
    public static final int TOTAL_PARTS = 1_000;

    /**
     * One entry's share.
     *
     * @param parts the parts that it has
     * @param wanted the parts that it lacks, 0 if none
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
            throw new IllegalArgumentException("more than the whole is given out: " + shares);
        }
    }

    /**
     * Obtains a row without shares.
     *
     * @return the row, not null
     */
    public static ShareRow empty() {
        return new ShareRow(Map.of());
    }

    /**
     * Gets an entry's share.
     *
     * @param node the entry's instance, not null
     * @return the share, of no parts if it has none
     */
    public Share share(String node) {
        return shares.getOrDefault(node, new Share(0, 0));
    }

    /**
     * Gets the parts that nobody has.
     *
     * @return the parts
     */
    public int freeParts() {
        return TOTAL_PARTS - shares.values().stream().mapToInt(Share::parts).sum();
    }

    /**
     * Gets the parts that others than one entry want.
     *
     * @param node the entry, not null
     * @return the parts
     */
    public int wantedByOthers(String node) {
        return shares.entrySet().stream()
                .filter(share -> !share.getKey().equals(node))
                .mapToInt(share -> share.getValue().wanted())
                .sum();
    }

    /**
     * Gets a copy in which an entry has another share.
     *
     * @param node the entry, not null
     * @param share its share, not null
     * @return the copy, not null
     */
    public ShareRow with(String node, Share share) {
        Map<String, Share> changed = new TreeMap<>(shares);
        changed.put(Objects.requireNonNull(node, "node"), share);
        return new ShareRow(changed);
    }

    /**
     * Gets a copy without an entry's share.
     *
     * @param node the entry, not null
     * @return the copy, not null
     */
    public ShareRow without(String node) {
        Map<String, Share> changed = new TreeMap<>(shares);
        changed.remove(node);
        return new ShareRow(changed);
    }

    /**
     * Writes the row.
     *
     * @return its text, not null
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(shares).forEach((node, share) -> text.append(node)
                .append(' ')
                .append(share.parts())
                .append(' ')
                .append(share.wanted())
                .append('\n'));
        return text.toString();
    }

    /**
     * Reads a row.
     *
     * @param text the text, not null
     * @return the row, or empty if the text is not one
     */
    public static Optional<ShareRow> parse(String text) {
        Map<String, Share> shares = new TreeMap<>();
        try {
            for (String line : text.lines().toList()) {
                String[] words = line.split(" ");
                shares.put(words[0], new Share(Integer.parseInt(words[1]), Integer.parseInt(words[2])));
            }
            return Optional.of(new ShareRow(shares));
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException unreadable) {
            return Optional.empty();
        }
    }
}
