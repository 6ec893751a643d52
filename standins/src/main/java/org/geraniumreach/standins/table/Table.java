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
 * The rows of the stand-in table service.
 *
 * <p>Invariant: a transaction takes effect whole or not at all, and a row's versions rise for ever, also when it is deleted
 * and made again. Safe for use by several threads, under one lock.
 */
public final class Table {

    private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();
    private long lastVersion;

    /**
     * Reads a row.
     *
     * @param key the row, not null
     * @return the row, or empty
     */
    public synchronized Optional<Row> read(RowKey key) {
        return Optional.ofNullable(rows(key.table()).get(key.key()));
    }

    /**
     * Reads rows in order.
     *
     * @param table the table, not null
     * @param prefix what their keys start with, not null
     * @param after the key after which to begin, not null
     * @param limit the greatest number
     * @return the rows
     */
    public synchronized List<Row> scan(String table, String prefix, String after, int limit) {
        List<Row> found = new ArrayList<>();
        String start = after.compareTo(prefix) > 0 ? after : prefix;
        for (Row row : rows(table).tailMap(start, !start.equals(after)).values()) {
            if (found.size() == limit || !row.key().key().startsWith(prefix)) {
                return found;
            }
            found.add(row);
        }
        return found;
    }

    /**
     * Applies a transaction.
     *
     * @param transaction the transaction, not null
     * @return true if it took effect
     */
    public synchronized boolean commit(Transaction transaction) {
        boolean holds = transaction.conditions().stream().allMatch(this::isMet);
        if (holds) {
            transaction.writes().forEach(this::apply);
        }
        return holds;
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
