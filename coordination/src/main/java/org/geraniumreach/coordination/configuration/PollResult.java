package org.geraniumreach.coordination.configuration;

import java.util.List;
import java.util.Optional;

import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;

/**
 * The result of a poll of the table.
 *
 * <p>Invariant: the head was read after {@code startedAt}. Immutable and safe for use by several threads.
 *
 * @param startedAt the reading of the node's clock before the head was read
 * @param headRevision the last revision in the log
 * @param snapshot a snapshot, if the log does not reach back to the held revision
 * @param entries the changes read
 */
public record PollResult(long startedAt, long headRevision, Optional<Configuration> snapshot, List<LogEntry> entries) {

    public PollResult {
        entries = List.copyOf(entries);
    }
}
