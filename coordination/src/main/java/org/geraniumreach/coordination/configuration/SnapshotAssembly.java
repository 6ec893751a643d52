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
final class SnapshotAssembly {

    /** The greatest number of parts. */
    static final int PARTS_LIMIT = 10_000;

    /** The number of records in a part. */
    static final int PART_SIZE = 200;

    private final Map<Integer, List<LogEntry>> received = new HashMap<>();
    private long revision;
    private int parts;

    /**
     * Takes a part.
     *
     * @param part the part, not null
     * @return the configuration, if this was the last part missing
     */
    Optional<Configuration> take(NodeMessage.SnapshotPart part) {
        if (part.revision() < revision || !isPossible(part)) {
            return Optional.empty();
        }
        if (part.revision() > revision || part.parts() != parts) {
            received.clear();
            revision = part.revision();
            parts = part.parts();
        }
        received.put(part.index(), part.entries());
        if (received.size() < parts) {
            return Optional.empty();
        }
        return assembled();
    }

    private static boolean isPossible(NodeMessage.SnapshotPart part) {
        return part.parts() >= 1 && part.parts() <= PARTS_LIMIT && part.index() >= 0 && part.index() < part.parts();
    }

    private Optional<Configuration> assembled() {
        List<LogEntry> records = new ArrayList<>();
        received.values().forEach(records::addAll);
        received.clear();
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
    static List<NodeMessage.SnapshotPart> cut(Configuration configuration, int partSize) {
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
