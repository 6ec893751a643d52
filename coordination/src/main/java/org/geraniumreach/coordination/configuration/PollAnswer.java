package org.geraniumreach.coordination.configuration;

import java.util.List;
import java.util.Optional;

import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;

/**
 * What a reading of the table brought.
 *
 * <p>Invariant: the head was read after the start. Immutable and safe for use by several threads.
 *
 * @param startedAt the reader's clock before the head was read
 * @param headRevision the revision of the head
 * @param snapshot a snapshot, if the log did not go back far enough
 * @param entries the changes read
 */
public record PollAnswer(long startedAt, long headRevision, Optional<Configuration> snapshot, List<LogEntry> entries) {

    public PollAnswer {
        entries = List.copyOf(entries);
    }
}
