package org.geraniumreach.daemon;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;

import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.TableService;

/** An in-memory table service with injectable faults. */
public final class FaultyTable implements TableService {

    private final Map<String, Row> rows = new ConcurrentSkipListMap<>();
    private final Supplier<Fault> faults;
    private long lastVersion;

    /** The fault of one call. */
    public enum Fault {
        NONE,
        UNREACHABLE,
        ANSWER_LOST
    }

    public FaultyTable(Supplier<Fault> faults) {
        this.faults = faults;
    }

    private static String textOf(RowKey key) {
        return key.table() + " " + key.key();
    }

    @Override
    public Optional<Row> read(RowKey key) throws PlatformException {
        if (faults.get() != Fault.NONE) {
            throw new PlatformException(PlatformException.Effect.NONE, "unreachable", null);
        }
        return Optional.ofNullable(rows.get(textOf(key)));
    }

    @Override
    public List<Row> scan(String table, String prefix, String after, int limit) {
        return rows.values().stream()
                .filter(row -> row.key().table().equals(table))
                .limit(limit)
                .toList();
    }

    @Override
    public synchronized boolean commit(Transaction transaction) throws PlatformException {
        Fault fault = faults.get();
        if (fault == Fault.UNREACHABLE) {
            throw new PlatformException(PlatformException.Effect.NONE, "unreachable", null);
        }
        boolean holds = transaction.conditions().stream().allMatch(this::holds);
        if (holds) {
            transaction.writes().forEach(this::apply);
        }
        if (fault == Fault.ANSWER_LOST) {
            throw new PlatformException(PlatformException.Effect.UNKNOWN, "answer lost", null);
        }
        return holds;
    }

    private boolean holds(Transaction.Condition condition) {
        Row row = rows.get(textOf(condition.key()));
        return condition.version() == (row == null ? Transaction.ABSENT_VERSION : row.version());
    }

    private void apply(Transaction.Write write) {
        lastVersion++;
        if (write.value().isEmpty()) {
            rows.remove(textOf(write.key()));
        } else {
            Row row = new Row(write.key(), lastVersion, write.value().get());
            rows.put(textOf(write.key()), row);
        }
    }
}
