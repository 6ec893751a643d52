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
     * @param head the highest revision known to the sender
     * @param entries the changes
     */
    record News(long head, List<LogEntry> entries) implements NodeMessage {

        public News {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Reports the state of the sender periodically.
     *
     * @param revision the sender's current revision
     * @param highestHeard the highest revision known to the sender
     * @param confirmedAge nanoseconds since the sender's configuration was last confirmed, empty if it never was
     * @param saysUnreachable whether the sender cannot reach the store
     * @param words reports of entries that cannot reach the store, sent while the sender cannot reach it either
     * @param stamp the reading of the sender's clock, which the receiver echoes
     * @param echo the latest timestamp received from the receiver, empty if there is none
     */
    record Note(
            long revision,
            long highestHeard,
            OptionalLong confirmedAge,
            boolean saysUnreachable,
            List<Word> words,
            long stamp,
            Optional<Echo> echo)
            implements NodeMessage {

        public Note {
            words = List.copyOf(words);
        }
    }

    /**
     * A timestamp returned to its sender.
     *
     * @param stamp the timestamp
     * @param held nanoseconds between the arrival of the timestamp and the sending of this echo
     */
    record Echo(long stamp, long held) {}

    /**
     * An entry's report that it cannot reach the store.
     *
     * @param entry the entry
     * @param age an upper bound of the nanoseconds since the report
     */
    record Word(InstanceId entry, long age) {}

    /**
     * Requests the changes after a revision, or a snapshot if the receiver no longer has all of them.
     *
     * @param haveRevision the sender's current revision
     */
    record SnapshotRequest(long haveRevision) implements NodeMessage {}

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
