package org.geraniumreach.gateway.store;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.StorePort.Table;
import org.geraniumreach.model.EventCode;

/**
 * The rows of the store that cannot be read, such as those of another writer. They are left out, and the other rows are followed.
 *
 * <p>Invariants: each change of such a row writes one line of bounded length; no more than {@link #MAXIMUM_KEYS} rows of a table are known.
 * Confined to the event loop; the count may be read from any thread.
 */
public final class UnreadableRows {

    private static final int MAXIMUM_KEYS = 10_000;
    private static final int MAXIMUM_REASON_LENGTH = 200;

    private final DecisionLog log;
    private final Map<Table, Set<String>> keys = new EnumMap<>(Table.class);
    private volatile int count;

    /**
     * Creates an instance that knows no row.
     *
     * @param log receives the log entries, not null
     */
    public UnreadableRows(DecisionLog log) {
        this.log = Objects.requireNonNull(log, "log");
        for (Table table : Table.values()) {
            keys.put(table, new HashSet<>());
        }
    }

    /**
     * Records a row that cannot be read.
     *
     * @param table the row's table, not null
     * @param key the row's key, not null
     * @param reason what is wrong with it, not null
     */
    public void record(Table table, String key, String reason) {
        Set<String> ofTable = keys.get(table);
        if (ofTable.size() < MAXIMUM_KEYS && ofTable.add(key)) {
            count++;
        }
        String bounded = reason.length() > MAXIMUM_REASON_LENGTH ? reason.substring(0, MAXIMUM_REASON_LENGTH) : reason;
        log.write(EventCode.ROW_UNREADABLE, key, Field.of("table", table), Field.of("reason", bounded));
    }

    /**
     * Records that a row has changed, so that it may be readable now.
     *
     * @param table the row's table, not null
     * @param key the row's key, not null
     */
    public void forget(Table table, String key) {
        if (keys.get(table).remove(key)) {
            count--;
        }
    }

    /**
     * Gets the number of rows that cannot be read.
     *
     * @return the number
     */
    public int count() {
        return count;
    }
}
