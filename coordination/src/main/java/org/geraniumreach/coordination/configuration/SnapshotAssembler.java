package org.geraniumreach.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;

/**
 * Assembles a snapshot from parts that a peer sends, which may arrive in any order and repeatedly.
 *
 * <p>Invariant: parts of different revisions are never combined; only the parts of the newest revision are collected. Not
 * safe for use by several threads.
 */
final class SnapshotAssembler {

    /** The maximum number of parts of a snapshot. */
    static final int MAX_PARTS = 10_000;

    /** The maximum number of records in a part. */
    static final int RECORDS_PER_PART = 200;

    private final Map<Integer, List<LogEntry>> receivedParts = new HashMap<>();
    private long revision;
    private int partCount;

    /**
     * Adds a part; a part that is invalid or of an older revision is ignored.
     *
     * @param part the part, not null
     * @return the configuration, if this part completes it
     */
    Optional<Configuration> addPart(NodeMessage.SnapshotPart part) {
        if (part.revision() < revision || !isValid(part)) {
            return Optional.empty();
        }
        if (part.revision() > revision || part.parts() != partCount) {
            receivedParts.clear();
            revision = part.revision();
            partCount = part.parts();
        }
        receivedParts.put(part.index(), part.entries());
        if (receivedParts.size() < partCount) {
            return Optional.empty();
        }
        return assemble();
    }

    private static boolean isValid(NodeMessage.SnapshotPart part) {
        return part.parts() >= 1 && part.parts() <= MAX_PARTS && part.index() >= 0 && part.index() < part.parts();
    }

    private Optional<Configuration> assemble() {
        List<LogEntry> records = new ArrayList<>();
        receivedParts.values().forEach(records::addAll);
        receivedParts.clear();
        try {
            return Optional.of(Configuration.ofSnapshot(revision, records));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    /**
     * Splits a configuration into snapshot parts.
     *
     * @param configuration the configuration, not null
     * @param recordsPerPart the maximum number of records in a part
     * @return the parts, at least one, not null
     */
    static List<NodeMessage.SnapshotPart> split(Configuration configuration, int recordsPerPart) {
        List<LogEntry> records = List.copyOf(configuration.entries());
        int parts = Math.max(1, (records.size() + recordsPerPart - 1) / recordsPerPart);
        List<NodeMessage.SnapshotPart> split = new ArrayList<>();
        for (int index = 0; index < parts; index++) {
            int from = index * recordsPerPart;
            int to = Math.min(from + recordsPerPart, records.size());
            split.add(new NodeMessage.SnapshotPart(
                    configuration.revision(), index, parts, records.subList(Math.min(from, to), to)));
        }
        return split;
    }
}
