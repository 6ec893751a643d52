package org.geraniumreach.coordination.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.geraniumreach.coordination.configuration.ConfigurationRows.SnapshotPointer;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.table.Transaction;

/**
 * Plans the transactions that write snapshots to the table and delete the log entries they cover, so that a new instance
 * need not read the whole log.
 *
 * <p>Invariants: the parts of a snapshot depend on its revision alone, so instances that write the same snapshot
 * concurrently write the same rows; the row that points to a snapshot is written after its parts; only changes that the
 * newest snapshot contains are deleted. Stateless and safe for use by several threads.
 */
public final class Compaction {

    /** The minimum number of changes that are retained as history. */
    public static final int MIN_RETAINED_CHANGES = 10_000;

    private static final int RECORDS_PER_PART = 200;
    private static final int DELETION_BATCH_SIZE = 50;

    private Compaction() {}

    /**
     * Checks whether a new snapshot is due.
     *
     * @param revision the current revision
     * @param newest the newest snapshot in the table, if there is one, not null
     * @param changes the number of changes after which a snapshot is due
     * @return true if a snapshot is due
     */
    public static boolean isDue(long revision, Optional<SnapshotPointer> newest, int changes) {
        return revision - newest.map(SnapshotPointer::revision).orElse(0L) >= changes;
    }

    /**
     * Plans the transactions that write the parts of a snapshot.
     *
     * @param configuration the configuration to write, not null
     * @return the transactions, one per part, not null
     */
    public static List<Transaction> planPartWrites(Configuration configuration) {
        List<LogEntry> records = new ArrayList<>(configuration.entries());
        records.sort(Comparator.comparing((LogEntry entry) -> entry.key().kind())
                .thenComparing(entry -> entry.key().name()));
        List<Transaction> transactions = new ArrayList<>();
        for (int from = 0; from < records.size(); from += RECORDS_PER_PART) {
            String part = ConfigurationRows.writePart(
                    records.subList(from, Math.min(from + RECORDS_PER_PART, records.size())));
            transactions.add(Transaction.empty()
                    .withWrite(ConfigurationRows.partKey(configuration.revision(), transactions.size()), part));
        }
        return transactions;
    }

    /**
     * Plans the transaction that points the snapshot row to a new snapshot.
     *
     * @param rowVersion the version of the snapshot row as read; the transaction requires that it is unchanged
     * @param pointer the new content, not null
     * @return the transaction, not null
     */
    public static Transaction planPointerWrite(long rowVersion, SnapshotPointer pointer) {
        return Transaction.empty()
                .withCondition(ConfigurationRows.SNAPSHOT, rowVersion)
                .withWrite(ConfigurationRows.SNAPSHOT, ConfigurationRows.writePointer(pointer));
    }

    /**
     * Plans the transactions that delete a snapshot that a newer one has replaced.
     *
     * @param old the replaced snapshot, not null
     * @return the transactions, not null
     */
    public static List<Transaction> planPartDeletions(SnapshotPointer old) {
        DeletionBatcher deletions = new DeletionBatcher();
        for (int index = 0; index < old.parts(); index++) {
            deletions.add(Transaction.empty().withDelete(ConfigurationRows.partKey(old.revision(), index)));
        }
        return deletions.transactions();
    }

    /**
     * Plans the transactions that delete changes that a snapshot contains and that exceed the retained history.
     *
     * @param oldest the oldest changes in the log, not null
     * @param snapshotRevision the revision of the newest snapshot
     * @return the transactions, not null
     */
    public static List<Transaction> planChangeDeletions(List<LogEntry> oldest, long snapshotRevision) {
        DeletionBatcher deletions = new DeletionBatcher();
        for (LogEntry entry : oldest) {
            if (entry.revision() <= snapshotRevision - MIN_RETAINED_CHANGES) {
                deletions.add(Transaction.empty()
                        .withDelete(ConfigurationRows.logKey(entry.revision()))
                        .withDelete(ConfigurationRows.operationKey(entry.operation())));
            }
        }
        return deletions.transactions();
    }

    /** Combines deletions into transactions of limited size. */
    private static final class DeletionBatcher {

        private final List<Transaction> transactions = new ArrayList<>();
        private List<Transaction.Write> writes = new ArrayList<>();

        void add(Transaction deletion) {
            writes.addAll(deletion.writes());
            if (writes.size() >= DELETION_BATCH_SIZE) {
                flush();
            }
        }

        private void flush() {
            transactions.add(new Transaction(List.of(), writes));
            writes = new ArrayList<>();
        }

        List<Transaction> transactions() {
            if (!writes.isEmpty()) {
                flush();
            }
            return transactions;
        }
    }
}
