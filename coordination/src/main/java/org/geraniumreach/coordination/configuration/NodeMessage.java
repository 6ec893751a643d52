package org.geraniumreach.coordination.configuration;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.record.LogEntry;

/** A message between configuration nodes. */
public sealed interface NodeMessage {

    /**
     * Sends changes of the configuration.
     *
     * @param highestKnownRevision the highest revision known to the sender
     * @param entries the changes
     */
    record Changes(long highestKnownRevision, List<LogEntry> entries) implements NodeMessage {

        public Changes {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Reports the state of the sender periodically.
     *
     * @param revision the sender's current revision
     * @param highestKnownRevision the highest revision known to the sender
     * @param confirmationAgeNanos nanoseconds since the sender's configuration was last confirmed, empty if it never was
     * @param isStoreUnreachable whether the sender cannot reach the store
     * @param unreachableReports reports of entries that cannot reach the store, sent while the sender cannot reach it either
     * @param timestamp the reading of the sender's clock, which the receiver echoes
     * @param echo the latest timestamp received from the receiver, empty if there is none
     */
    record Heartbeat(
            long revision,
            long highestKnownRevision,
            OptionalLong confirmationAgeNanos,
            boolean isStoreUnreachable,
            List<UnreachableReport> unreachableReports,
            long timestamp,
            Optional<TimestampEcho> echo)
            implements NodeMessage {

        public Heartbeat {
            unreachableReports = List.copyOf(unreachableReports);
        }
    }

    /**
     * A timestamp returned to its sender.
     *
     * @param timestamp the timestamp
     * @param heldNanos nanoseconds between the arrival of the timestamp and the sending of this echo
     */
    record TimestampEcho(long timestamp, long heldNanos) {}

    /**
     * An entry's report that it cannot reach the store.
     *
     * @param entry the entry
     * @param ageNanos an upper bound of the nanoseconds since the report
     */
    record UnreachableReport(InstanceId entry, long ageNanos) {}

    /**
     * Requests the changes after a revision, or a snapshot if the receiver no longer has all of them.
     *
     * @param heldRevision the sender's current revision
     */
    record SnapshotRequest(long heldRevision) implements NodeMessage {}

    /**
     * Sends a part of a snapshot.
     *
     * @param revision the revision of the snapshot
     * @param index the index of the part, from 0
     * @param parts the number of parts
     * @param entries the records of the part
     */
    record SnapshotPart(long revision, int index, int parts, List<LogEntry> entries) implements NodeMessage {

        public SnapshotPart {
            entries = List.copyOf(entries);
        }
    }
}
