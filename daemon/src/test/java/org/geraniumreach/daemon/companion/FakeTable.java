package org.geraniumreach.daemon.companion;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.geraniumreach.ports.TableService;

/** An in-memory table service that can hold or fail reads, and lose the answer to a write that took effect. */
final class FakeTable implements TableService {

    private final Map<RowKey, Row> rows = new HashMap<>();
    private boolean losesNextAnswer;
    private boolean holdsReads;
    private boolean failsReads;

    synchronized void loseNextAnswer() {
        losesNextAnswer = true;
    }

    synchronized void holdReads(boolean holds) {
        holdsReads = holds;
        notifyAll();
    }

    synchronized void failReads(boolean fails) {
        failsReads = fails;
    }

    @Override
    public synchronized Optional<Row> read(RowKey key) throws PlatformException {
        while (holdsReads) {
            try {
                wait();
            } catch (InterruptedException stopped) {
                throw new PlatformException(Effect.NONE, "interrupted", stopped);
            }
        }
        if (failsReads) {
            throw new PlatformException(Effect.NONE, "the table is down", null);
        }
        return find(key);
    }

    private Optional<Row> find(RowKey key) {
        return Optional.ofNullable(rows.get(key));
    }

    @Override
    public List<Row> scan(String table, String prefix, String after, int limit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public synchronized boolean commit(Transaction transaction) throws PlatformException {
        for (Transaction.Condition condition : transaction.conditions()) {
            long version = find(condition.key()).map(Row::version).orElse(Transaction.ABSENT_VERSION);
            if (version != condition.version()) {
                return false;
            }
        }
        for (Transaction.Write write : transaction.writes()) {
            long version = find(write.key()).map(Row::version).orElse(0L);
            rows.put(
                    write.key(), new Row(write.key(), version + 1, write.value().orElseThrow()));
        }
        if (losesNextAnswer) {
            losesNextAnswer = false;
            throw new PlatformException(Effect.UNKNOWN, "the answer was lost", null);
        }
        return true;
    }
}
