package org.geraniumreach.model;

import java.util.Optional;

/**
 * A version of an adapter. Each version is served separately.
 *
 * <p>Invariant: both parts are valid names. Immutable and safe for use by several threads.
 *
 * @param adapter the name of the adapter
 * @param version the name of the version
 */
public record AdapterReference(String adapter, String version) implements Comparable<AdapterReference> {

    private static final char SEPARATOR = '@';

    public AdapterReference {
        Names.requireName("adapter", adapter);
        Names.requireName("adapter version", version);
    }

    /**
     * Creates a reference from its parts.
     *
     * @param adapter the name of the adapter, not null
     * @param version the name of the version, not null
     * @return the reference, not null
     */
    public static AdapterReference of(String adapter, String version) {
        return new AdapterReference(adapter, version);
    }

    /**
     * Parses {@code adapter@version}.
     *
     * @param text the text to parse, null returns empty
     * @return the reference, or empty if the text does not have this form
     */
    public static Optional<AdapterReference> parse(String text) {
        if (text == null) {
            return Optional.empty();
        }
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0
                || !Names.isName(text.substring(0, separator))
                || !Names.isName(text.substring(separator + 1))) {
            return Optional.empty();
        }
        return Optional.of(new AdapterReference(text.substring(0, separator), text.substring(separator + 1)));
    }

    @Override
    public int compareTo(AdapterReference other) {
        int order = adapter.compareTo(other.adapter);
        return order != 0 ? order : version.compareTo(other.version);
    }

    @Override
    public String toString() {
        return adapter + SEPARATOR + version;
    }
}
