package org.geraniumreach.benchmarks.budget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/** A transactional table service in memory; confined to one thread. */
final class InMemoryTable {

    private final Map<RowKey, Row> rows = new HashMap<>();
    private long lastVersion;
    private int commitAttempts;

    Optional<Row> read(RowKey key) {
        return Optional.ofNullable(rows.get(key));
    }

    List<Row> scan(String table) {
        return rows.values().stream()
                .filter(row -> row.key().table().equals(table))
                .toList();
    }

    boolean commit(Transaction transaction) {
        commitAttempts++;
        for (Transaction.Condition condition : transaction.conditions()) {
            long version = read(condition.key()).map(Row::version).orElse(Transaction.ABSENT_VERSION);
            if (version != condition.version()) {
                return false;
            }
        }
        for (Transaction.Write write : transaction.writes()) {
            lastVersion++;
            if (write.value().isPresent()) {
                rows.put(
                        write.key(),
                        new Row(write.key(), lastVersion, write.value().get()));
            } else {
                rows.remove(write.key());
            }
        }
        return true;
    }

    int commitAttempts() {
        return commitAttempts;
    }
}
