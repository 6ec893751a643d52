package org.geraniumreach.model;

import java.util.Optional;

/**
 * An adapter together with the version named: two versions are two different things to serve.
 *
 * <p>Invariant: both parts are valid names. Immutable and safe for use by several threads.
 *
 * @param adapter the adapter's name
 * @param version the version's name
 */
public record AdapterReference(String adapter, String version) implements Comparable<AdapterReference> {

    private static final char SEPARATOR = '@';

    public AdapterReference {
        Names.requireName("adapter", adapter);
        Names.requireName("adapter version", version);
    }

    /**
     * Obtains a reference from its parts.
     *
     * @param adapter the adapter's name, not null
     * @param version the version's name, not null
     * @return the reference, not null
     */
    public static AdapterReference of(String adapter, String version) {
        return new AdapterReference(adapter, version);
    }

    /**
     * Parses {@code adapter@version}.
     *
     * @param text the text to parse, null answers empty
     * @return the reference, or empty if the text is not of that form
     */
    public static Optional<AdapterReference> parse(String text) {
        if (text == null) {
            return Optional.empty();
        }
        int at = text.indexOf(SEPARATOR);
        if (at < 0 || !Names.isName(text.substring(0, at)) || !Names.isName(text.substring(at + 1))) {
            return Optional.empty();
        }
        return Optional.of(new AdapterReference(text.substring(0, at), text.substring(at + 1)));
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
