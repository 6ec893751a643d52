package org.geraniumreach.daemon.ledger;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;

import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.platform.PlatformException;
import org.geraniumreach.platform.TableService;

/** A table service in memory, whose answers can be taken away. */
final class FaultyTable implements TableService {

    private final Map<String, Row> rows = new ConcurrentSkipListMap<>();
    private final Supplier<Fault> faults;
    private long lastVersion;

    /** What befalls a call. */
    enum Fault {
        NONE,
        UNREACHABLE,
        ANSWER_LOST
    }

    FaultyTable(Supplier<Fault> faults) {
        this.faults = faults;
    }

    @Override
    public Optional<Row> read(RowKey key) throws PlatformException {
        if (faults.get() != Fault.NONE) {
            throw new PlatformException(PlatformException.Effect.NONE, "unreachable", null);
        }
        return Optional.ofNullable(rows.get(key.key()));
    }

    @Override
    public List<Row> scan(String table, String prefix, String after, int limit) {
        return rows.values().stream().limit(limit).toList();
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
        Row row = rows.get(condition.key().key());
        return condition.version() == (row == null ? Transaction.ABSENT : row.version());
    }

    private void apply(Transaction.Write write) {
        lastVersion++;
        if (write.value().isEmpty()) {
            rows.remove(write.key().key());
        } else {
            Row row = new Row(write.key(), lastVersion, write.value().get());
            rows.put(write.key().key(), row);
        }
    }
}
