package org.geraniumreach.coordination.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.geraniumreach.coordination.configuration.ConfigurationRows.SnapshotPlace;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.table.Transaction;

/**
 * Plans how snapshots in the table keep the log short, so that a fresh instance does not read every change ever made.
 *
 * <p>Invariants: the parts of a snapshot depend on the revision alone, so two instances that write the same one at the same
 * time write the same rows; the snapshot's place is written after its parts; only changes that the newest snapshot holds are
 * deleted. Stateless and safe for use by several threads.
 */
public final class Compaction {

    /** The number of changes that are kept for the history at least. */
    public static final int MIN_RETAINED_CHANGES = 10_000;

    private static final int RECORDS_PER_PART = 200;
    private static final int DELETIONS_PER_TRANSACTION = 50;

    private Compaction() {}

    /**
     * Queries whether a new snapshot is due.
     *
     * @param revision the revision in force
     * @param newest the newest snapshot in the table, if there is one, not null
     * @param changes after how many changes one is due
     * @return true if it is
     */
    public static boolean isDue(long revision, Optional<SnapshotPlace> newest, int changes) {
        return revision - newest.map(SnapshotPlace::revision).orElse(0L) >= changes;
    }

    /**
     * Plans the writing of a snapshot's parts.
     *
     * @param configuration what the snapshot holds, not null
     * @return the transactions, one for each part, not null
     */
    public static List<Transaction> writeParts(Configuration configuration) {
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
     * Plans the writing of a snapshot's place.
     *
     * @param rowVersion the version of the place's row that was read, which must not have changed since
     * @param place the place, not null
     * @return the transaction, not null
     */
    public static Transaction writePlace(long rowVersion, SnapshotPlace place) {
        return Transaction.empty()
                .withCondition(ConfigurationRows.SNAPSHOT, rowVersion)
                .withWrite(ConfigurationRows.SNAPSHOT, ConfigurationRows.writePointer(place));
    }

    /**
     * Plans the deletion of a snapshot that a newer one has replaced.
     *
     * @param old the snapshot, not null
     * @return the transactions, not null
     */
    public static List<Transaction> deleteParts(SnapshotPlace old) {
        DeletionBatcher deletions = new DeletionBatcher();
        for (int index = 0; index < old.parts(); index++) {
            deletions.add(Transaction.empty().withDelete(ConfigurationRows.partKey(old.revision(), index)));
        }
        return deletions.transactions();
    }

    /**
     * Plans the deletion of changes that a snapshot holds and that are too old for the history.
     *
     * @param oldest the oldest changes in the log, not null
     * @param snapshotRevision the revision of the newest snapshot
     * @return the transactions, not null
     */
    public static List<Transaction> deleteChanges(List<LogEntry> oldest, long snapshotRevision) {
        DeletionBatcher deletions = new DeletionBatcher();
        for (LogEntry entry : oldest) {
            if (entry.revision() <= snapshotRevision - MIN_RETAINED_CHANGES) {
                deletions.add(Transaction.empty()
                        .withDelete(ConfigurationRows.log(entry.revision()))
                        .withDelete(ConfigurationRows.operationKey(entry.operation())));
            }
        }
        return deletions.transactions();
    }

    /** Joins small transactions into a few. */
    private static final class DeletionBatcher {

        private final List<Transaction> transactions = new ArrayList<>();
        private List<Transaction.Write> writes = new ArrayList<>();

        void add(Transaction deletion) {
            writes.addAll(deletion.writes());
            if (writes.size() >= DELETIONS_PER_TRANSACTION) {
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
