package org.geraniumreach.daemon.configuration;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.TableService;

/** A table service in memory that can be made unavailable. */
public final class InMemoryTable implements TableService {

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private boolean unavailable;

    public synchronized void setUnavailable(boolean newUnavailable) {
        unavailable = newUnavailable;
    }

    private void requireAvailable(PlatformException.Effect effect) throws PlatformException {
        if (unavailable) {
            throw new PlatformException(effect, "the table is unavailable", null);
        }
    }

    @Override
    public synchronized Optional<Row> read(RowKey key) throws PlatformException {
        requireAvailable(PlatformException.Effect.NONE);
        return Optional.ofNullable(rows.get(key.key()));
    }

    @Override
    public synchronized List<Row> scan(String table, String prefix, String after, int limit) throws PlatformException {
        requireAvailable(PlatformException.Effect.NONE);
        return rows.tailMap(after, false).values().stream()
                .filter(row -> row.key().key().startsWith(prefix))
                .limit(limit)
                .toList();
    }

    @Override
    public synchronized boolean commit(Transaction transaction) throws PlatformException {
        requireAvailable(PlatformException.Effect.UNKNOWN);
        for (Transaction.Condition condition : transaction.conditions()) {
            if (version(condition.key()) != condition.version()) {
                return false;
            }
        }
        for (Transaction.Write write : transaction.writes()) {
            long version = version(write.key()) + 1;
            write.value()
                    .ifPresentOrElse(
                            value -> rows.put(write.key().key(), new Row(write.key(), version, value)),
                            () -> rows.remove(write.key().key()));
        }
        return true;
    }

    private long version(RowKey key) {
        return Optional.ofNullable(rows.get(key.key())).map(Row::version).orElse(Transaction.ABSENT_VERSION);
    }
}
