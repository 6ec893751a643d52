package org.geraniumreach.coordination.configuration;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/** An in-memory version of the platform's table that answers immediately. */
final class InMemoryTable {

    private final TreeMap<String, Row> rows = new TreeMap<>();

    Optional<Row> read(RowKey key) {
        return Optional.ofNullable(rows.get(key.key()));
    }

    boolean commit(Transaction transaction) {
        for (Transaction.Condition condition : transaction.conditions()) {
            if (read(condition.key()).map(Row::version).orElse(Transaction.ABSENT_VERSION) != condition.version()) {
                return false;
            }
        }
        for (Transaction.Write write : transaction.writes()) {
            long version = read(write.key()).map(Row::version).orElse(Transaction.ABSENT_VERSION) + 1;
            write.value()
                    .ifPresentOrElse(
                            value -> rows.put(write.key().key(), new Row(write.key(), version, value)),
                            () -> rows.remove(write.key().key()));
        }
        return true;
    }

    long headRevision() {
        try {
            Optional<Row> head = read(ConfigurationRows.HEAD);
            return head.isPresent() ? ConfigurationRows.readRevision(head.get().value()) : 0;
        } catch (RecordException malformed) {
            throw new AssertionError(malformed);
        }
    }

    List<LogEntry> log() {
        String prefix = ConfigurationRows.LOG_PREFIX;
        return rows.subMap(prefix, prefix + '~').values().stream()
                .map(row -> readEntry(row.value()))
                .toList();
    }

    private static LogEntry readEntry(String value) {
        try {
            return ConfigurationRows.readEntry(value);
        } catch (RecordException malformed) {
            throw new AssertionError(malformed);
        }
    }

    PollResult poll(long startedAt, long heldRevision) {
        List<LogEntry> entries =
                log().stream().filter(entry -> entry.revision() > heldRevision).toList();
        return new PollResult(startedAt, headRevision(), Optional.empty(), entries);
    }
}
