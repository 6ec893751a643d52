package org.geraniumreach.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;

/**
 * Puts the parts of a peer's snapshot together, in whatever order and however often they come.
 *
 * <p>Invariant: parts of different revisions are never mixed; the newest revision is the one collected. Not safe for use by
 * several threads.
 */
final class SnapshotAssembler {

    /** The greatest number of parts. */
    static final int MAX_PARTS = 10_000;

    /** The number of records in a part. */
    static final int RECORDS_PER_PART = 200;

    private final Map<Integer, List<LogEntry>> receivedParts = new HashMap<>();
    private long revision;
    private int partCount;

    /**
     * Takes a part.
     *
     * @param part the part, not null
     * @return the configuration, if this was the last part missing
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
     * Cuts a configuration into parts.
     *
     * @param configuration the configuration, not null
     * @param partSize the number of records in a part
     * @return the parts, at least one, not null
     */
    static List<NodeMessage.SnapshotPart> split(Configuration configuration, int partSize) {
        List<LogEntry> records = List.copyOf(configuration.entries());
        int parts = Math.max(1, (records.size() + partSize - 1) / partSize);
        List<NodeMessage.SnapshotPart> cut = new ArrayList<>();
        for (int index = 0; index < parts; index++) {
            int from = index * partSize;
            int to = Math.min(from + partSize, records.size());
            cut.add(new NodeMessage.SnapshotPart(
                    configuration.revision(), index, parts, records.subList(Math.min(from, to), to)));
        }
        return cut;
    }
}
