package org.geraniumreach.coordination.configuration;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.record.LogEntry;

/** What configuration nodes tell one another. */
public sealed interface NodeMessage {

    /**
     * Changes of the configuration.
     *
     * @param head the highest revision that the sender knows of
     * @param entries the changes
     */
    record News(long head, List<LogEntry> entries) implements NodeMessage {

        public News {
            entries = List.copyOf(entries);
        }
    }

    /**
     * What the sender knows of the head.
     *
     * @param revision the revision in force at the sender
     * @param highestHeard the highest revision that the sender knows of
     * @param confirmedAge nanoseconds since the sender's configuration was confirmed as current, empty if it never was
     * @param saysUnreachable whether the store is out of the sender's reach
     * @param words what the sender heard of other entries while the store is out of its reach
     * @param stamp the sender's clock, which the receiver sends back
     * @param echo the receiver's stamp that came last, with how long ago it came, if one did
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
     * A stamp sent back.
     *
     * @param stamp the stamp
     * @param held nanoseconds between its arrival and the sending of this
     */
    record Echo(long stamp, long held) {}

    /**
     * That an entry said that the store is out of its reach.
     *
     * @param entry the entry
     * @param age the most nanoseconds that have gone by since
     */
    record Word(InstanceId entry, long age) {}

    /**
     * Asks for what follows a revision.
     *
     * @param haveRevision the revision in force at the sender
     */
    record SnapshotRequest(long haveRevision) implements NodeMessage {}

    /**
     * A part of a snapshot.
     *
     * @param revision the revision that it stands at
     * @param index the part's index, from 0
     * @param parts the number of parts
     * @param entries the records in it
     */
    record SnapshotPart(long revision, int index, int parts, List<LogEntry> entries) implements NodeMessage {

        public SnapshotPart {
            entries = List.copyOf(entries);
        }
    }
}
