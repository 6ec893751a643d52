package org.geraniumreach.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.coordination.configuration.ConfigurationRows;
import org.geraniumreach.coordination.configuration.PollResult;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.TableService;

/**
 * Reads the configuration and its change log from the table.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class ConfigurationReader {

    private static final int LOG_SCAN_LIMIT_ROWS = 500;
    private static final int PART_SCAN_LIMIT_ROWS = 20;

    private final TableService table;
    private final MonotonicClock clock;

    ConfigurationReader(TableService table, MonotonicClock clock) {
        this.table = Objects.requireNonNull(table, "table");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Reads the head and all changes after a revision, from a snapshot if the log does not reach back that far.
     *
     * @param heldRevision the revision that the caller holds
     * @return the result, not null
     * @throws PlatformException if the table does not answer
     * @throws RecordException if a row is malformed
     */
    PollResult read(long heldRevision) throws PlatformException, RecordException {
        long startedAtNanos = clock.nanos();
        Optional<Row> row = table.read(ConfigurationRows.HEAD);
        long head = row.isPresent() ? ConfigurationRows.readRevision(row.get().value()) : 0;
        if (head <= heldRevision) {
            return new PollResult(startedAtNanos, head, Optional.empty(), List.of());
        }
        List<LogEntry> entries = readLog(heldRevision);
        if (!entries.isEmpty() && entries.get(0).revision() == heldRevision + 1) {
            return new PollResult(startedAtNanos, head, Optional.empty(), entries);
        }
        Optional<Configuration> snapshot = readSnapshot();
        long after = snapshot.map(Configuration::revision).orElse(heldRevision);
        return new PollResult(startedAtNanos, head, snapshot, readLog(after));
    }

    /**
     * Reads the change log.
     *
     * @param after the revision after which to start
     * @return the entries in order of revision, not null
     * @throws PlatformException if the table does not answer
     * @throws RecordException if a row is malformed
     */
    List<LogEntry> readLog(long after) throws PlatformException, RecordException {
        List<LogEntry> entries = new ArrayList<>();
        String last = ConfigurationRows.logKey(after).key();
        while (true) {
            List<Row> rows =
                    table.scan(ConfigurationRows.TABLE, ConfigurationRows.LOG_PREFIX, last, LOG_SCAN_LIMIT_ROWS);
            for (Row row : rows) {
                entries.add(ConfigurationRows.readEntry(row.value()));
            }
            if (rows.size() < LOG_SCAN_LIMIT_ROWS) {
                return entries;
            }
            last = rows.get(rows.size() - 1).key().key();
        }
    }

    private Optional<Configuration> readSnapshot() throws PlatformException, RecordException {
        Optional<Row> row = table.read(ConfigurationRows.SNAPSHOT);
        if (row.isEmpty()) {
            return Optional.empty();
        }
        ConfigurationRows.SnapshotPointer pointer =
                ConfigurationRows.readPointer(row.get().value());
        List<LogEntry> records = new ArrayList<>();
        String prefix = ConfigurationRows.partPrefix(pointer.revision());
        String last = "";
        for (int read = 0; read < pointer.parts(); ) {
            List<Row> rows = table.scan(ConfigurationRows.TABLE, prefix, last, PART_SCAN_LIMIT_ROWS);
            if (rows.isEmpty()) {
                // A newer snapshot has replaced this one in the meantime; the next poll finds it.
                return Optional.empty();
            }
            for (Row part : rows) {
                records.addAll(ConfigurationRows.readPart(part.value()));
            }
            read += rows.size();
            last = rows.get(rows.size() - 1).key().key();
        }
        try {
            return Optional.of(Configuration.ofSnapshot(pointer.revision(), records));
        } catch (IllegalArgumentException malformed) {
            throw RecordException.invalid("snapshot", malformed.getMessage());
        }
    }
}
