package org.geraniumreach.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/** A table service in memory, whose commits may come late. */
public final class SimulatedTable {

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Transaction> delayed = new ArrayList<>();

    private static String textOf(RowKey key) {
        return key.table() + " " + key.key();
    }

    public Optional<Row> read(RowKey key) {
        return Optional.ofNullable(rows.get(textOf(key)));
    }

    public List<Row> scan(String table, String after, int limit) {
        return rows.values().stream()
                .filter(row -> row.key().table().equals(table))
                .filter(row -> row.key().key().compareTo(after) > 0)
                .limit(limit)
                .toList();
    }

    public boolean commit(Transaction transaction) {
        boolean holds = transaction.conditions().stream()
                .allMatch(condition -> condition.version()
                        == read(condition.key()).map(Row::version).orElse(Transaction.ABSENT));
        if (holds) {
            transaction.writes().forEach(this::apply);
        }
        return holds;
    }

    private void apply(Transaction.Write write) {
        if (write.value().isEmpty()) {
            rows.remove(textOf(write.key()));
            return;
        }
        // A row that was deleted and written again begins anew, as a table service may do it.
        long version = read(write.key()).map(Row::version).orElse(0L) + 1;
        rows.put(
                textOf(write.key()), new Row(write.key(), version, write.value().get()));
    }

    /** Keeps a commit back until it is let through. */
    public void delay(Transaction transaction) {
        delayed.add(transaction);
    }

    /** Lets one of the commits kept back through. */
    public void applyDelayed(int choice) {
        if (!delayed.isEmpty()) {
            commit(delayed.remove(choice % delayed.size()));
        }
    }
}
