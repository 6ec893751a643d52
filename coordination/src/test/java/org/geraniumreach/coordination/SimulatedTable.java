package org.geraniumreach.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/** An in-memory table service that can delay commits. */
public final class SimulatedTable {

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Transaction> delayed = new ArrayList<>();

    private static String storageKey(RowKey key) {
        return key.table() + " " + key.key();
    }

    public Optional<Row> read(RowKey key) {
        return Optional.ofNullable(rows.get(storageKey(key)));
    }

    public List<Row> scan(String table, String after, int limit) {
        return rows.values().stream()
                .filter(row -> row.key().table().equals(table))
                .filter(row -> row.key().key().compareTo(after) > 0)
                .limit(limit)
                .toList();
    }

    public boolean commit(Transaction transaction) {
        boolean conditionsHold = transaction.conditions().stream()
                .allMatch(condition -> condition.version()
                        == read(condition.key()).map(Row::version).orElse(Transaction.ABSENT_VERSION));
        if (conditionsHold) {
            transaction.writes().forEach(this::apply);
        }
        return conditionsHold;
    }

    private void apply(Transaction.Write write) {
        if (write.value().isEmpty()) {
            rows.remove(storageKey(write.key()));
            return;
        }
        // A row that is written after its deletion restarts at version 1, as a table service may do.
        long version = read(write.key()).map(Row::version).orElse(0L) + 1;
        rows.put(
                storageKey(write.key()),
                new Row(write.key(), version, write.value().get()));
    }

    /** Holds a commit until {@link #applyDelayed} applies it. */
    public void delay(Transaction transaction) {
        delayed.add(transaction);
    }

    /** Applies one of the delayed commits. */
    public void applyDelayed(int index) {
        if (!delayed.isEmpty()) {
            commit(delayed.remove(index % delayed.size()));
        }
    }
}
