package org.geraniumreach.gateway.stream;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.geraniumreach.model.SoftwareVersion;

/**
 * The stored list of the software versions of a service that may have begun streams, oldest first.
 *
 * <p>Invariant: no version is listed twice. Immutable and safe for use by several threads.
 *
 * @param versions the versions
 */
public record VersionRow(List<SoftwareVersion> versions) {

    /** The row of a service of which no version is known. */
    public static final VersionRow EMPTY = new VersionRow(List.of());

    public VersionRow {
        versions = List.copyOf(versions);
        if (versions.stream().distinct().count() < versions.size()) {
            throw new IllegalArgumentException("a version is listed twice: " + versions);
        }
    }

    /**
     * Returns a copy without some versions and with others at its end.
     *
     * @param removed the versions to remove, not null
     * @param added the versions to add, none of which is listed, not null
     * @return the copy, not null
     */
    public VersionRow with(Collection<SoftwareVersion> removed, Collection<SoftwareVersion> added) {
        List<SoftwareVersion> changed = new ArrayList<>(versions);
        changed.removeAll(removed);
        changed.addAll(added);
        return new VersionRow(changed);
    }

    /**
     * Formats the row for the store: a line for each version, in URL encoding.
     *
     * @return the text, not null
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        versions.forEach(version -> text.append(URLEncoder.encode(version.value(), StandardCharsets.UTF_8))
                .append('\n'));
        return text.toString();
    }

    /**
     * Parses a row formatted by {@link #toText}.
     *
     * @param text the text, not null
     * @return the row, or empty if the text is malformed, not null
     */
    public static Optional<VersionRow> parse(String text) {
        try {
            return Optional.of(new VersionRow(text.lines()
                    .map(line -> SoftwareVersion.of(URLDecoder.decode(line, StandardCharsets.UTF_8)))
                    .toList()));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }
}
