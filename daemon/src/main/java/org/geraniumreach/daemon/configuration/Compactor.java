package org.geraniumreach.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.coordination.configuration.Compaction;
import org.geraniumreach.coordination.configuration.ConfigurationRows;
import org.geraniumreach.coordination.configuration.ConfigurationRows.SnapshotPointer;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.TableService;

/**
 * Writes snapshots of the configuration to the table and deletes the rows that they supersede.
 *
 * <p>Contract: an interrupted run leaves rows that a later run overwrites or deletes, and never a pointer to missing parts.
 * Confined to the polling thread.
 */
final class Compactor {

    private static final int CHANGE_SCAN_LIMIT_ROWS = 500;

    private final TableService table;
    private final int changesPerSnapshot;
    private long nextSnapshotRevision;

    Compactor(TableService table, int changesPerSnapshot) {
        this.table = Objects.requireNonNull(table, "table");
        this.changesPerSnapshot = changesPerSnapshot;
        this.nextSnapshotRevision = changesPerSnapshot;
    }

    /**
     * Writes a snapshot if one is due.
     *
     * @param configuration the configuration in force, not null
     * @throws PlatformException if the table does not answer
     * @throws RecordException if a row is malformed
     */
    void compactIfDue(Configuration configuration) throws PlatformException, RecordException {
        if (configuration.revision() < nextSnapshotRevision) {
            return;
        }
        Optional<Row> row = table.read(ConfigurationRows.SNAPSHOT);
        Optional<SnapshotPointer> newest = Optional.empty();
        if (row.isPresent()) {
            newest = Optional.of(ConfigurationRows.readPointer(row.get().value()));
        }
        if (!Compaction.isDue(configuration.revision(), newest, changesPerSnapshot)) {
            nextSnapshotRevision = newest.orElseThrow().revision() + changesPerSnapshot;
            return;
        }
        List<Transaction> parts = Compaction.planPartWrites(configuration);
        commitAll(parts);
        SnapshotPointer pointer = new SnapshotPointer(configuration.revision(), parts.size());
        long version = row.map(Row::version).orElse(Transaction.ABSENT_VERSION);
        if (!table.commit(Compaction.planPointerWrite(version, pointer))) {
            return;
        }
        nextSnapshotRevision = configuration.revision() + changesPerSnapshot;
        if (newest.isPresent()) {
            commitAll(Compaction.planPartDeletions(newest.get()));
        }
        commitAll(Compaction.planChangeDeletions(readOldestChanges(), configuration.revision()));
    }

    private void commitAll(List<Transaction> transactions) throws PlatformException {
        for (Transaction transaction : transactions) {
            table.commit(transaction);
        }
    }

    private List<LogEntry> readOldestChanges() throws PlatformException, RecordException {
        List<Row> rows = table.scan(ConfigurationRows.TABLE, ConfigurationRows.LOG_PREFIX, "", CHANGE_SCAN_LIMIT_ROWS);
        List<LogEntry> entries = new ArrayList<>();
        for (Row row : rows) {
            entries.add(ConfigurationRows.readEntry(row.value()));
        }
        return entries;
    }
}
