package org.geraniumreach.standins.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * The in-memory rows of the stand-in table service.
 *
 * <p>Invariant: transactions are atomic, and the versions of a row strictly increase, even if it is deleted and created
 * again. Safe for use by several threads, under one lock.
 */
public final class Table {

    private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();
    private long lastVersion;

    /**
     * Reads a row.
     *
     * @param key the key of the row, not null
     * @return the row, or empty if it does not exist
     */
    public synchronized Optional<Row> read(RowKey key) {
        return Optional.ofNullable(rows(key.table()).get(key.key()));
    }

    /**
     * Reads rows in key order.
     *
     * @param table the table, not null
     * @param prefix the prefix of the keys, not null
     * @param after the key after which to start, exclusive, not null
     * @param limit the maximum number of rows
     * @return the rows, not null
     */
    public synchronized List<Row> scan(String table, String prefix, String after, int limit) {
        List<Row> matching = new ArrayList<>();
        String start = after.compareTo(prefix) > 0 ? after : prefix;
        for (Row row : rows(table).tailMap(start, !start.equals(after)).values()) {
            if (matching.size() == limit || !row.key().key().startsWith(prefix)) {
                return matching;
            }
            matching.add(row);
        }
        return matching;
    }

    /**
     * Applies a transaction if all its conditions are met.
     *
     * @param transaction the transaction, not null
     * @return true if the transaction was applied
     */
    public synchronized boolean commit(Transaction transaction) {
        boolean conditionsMet = transaction.conditions().stream().allMatch(this::isMet);
        if (conditionsMet) {
            transaction.writes().forEach(this::apply);
        }
        return conditionsMet;
    }

    private boolean isMet(Transaction.Condition condition) {
        Row row = rows(condition.key().table()).get(condition.key().key());
        long version = row == null ? Transaction.ABSENT_VERSION : row.version();
        return version == condition.version();
    }

    private void apply(Transaction.Write write) {
        RowKey key = write.key();
        if (write.value().isEmpty()) {
            rows(key.table()).remove(key.key());
            return;
        }
        lastVersion++;
        rows(key.table()).put(key.key(), new Row(key, lastVersion, write.value().get()));
    }

    private NavigableMap<String, Row> rows(String table) {
        return tables.computeIfAbsent(table, name -> new TreeMap<>());
    }
}
