package org.geraniumreach.daemon.ledger;

import java.time.Instant;
import java.util.List;

import org.geraniumreach.coordination.ledger.LedgerRowFormat;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.ports.PlatformException;

/**
 * Deletes ledger rows past their retention, in batches.
 *
 * <p>Invariant: a row is deleted only if its version is still the one that was read as past its retention. Not safe
 * for use by several threads.
 */
final class LedgerSweep {

    private final LedgerSettings settings;
    private final LedgerService.Dependencies dependencies;
    private final GroupCommitter committer;
    private String lastKey = "";

    LedgerSweep(LedgerSettings settings, LedgerService.Dependencies dependencies, GroupCommitter committer) {
        this.settings = settings;
        this.dependencies = dependencies;
        this.committer = committer;
    }

    /** Reads the next batch of rows and deletes those past their retention. */
    void sweepBatch() {
        try {
            List<Row> rows = dependencies.table().scan(LedgerRowFormat.TABLE, "", lastKey, settings.sweepRows());
            Instant cutoff = dependencies.clock().instant().minus(settings.retention());
            rows.stream().filter(row -> isCreatedBefore(row, cutoff)).forEach(this::delete);
            lastKey = rows.size() < settings.sweepRows()
                    ? ""
                    : rows.get(rows.size() - 1).key().key();
        } catch (PlatformException failure) {
            EventLog.write(EventCode.PLATFORM_UNREACHABLE, failure, "ledger sweep: {}", failure.getMessage());
        } catch (RuntimeException fault) {
            // The executor drops a periodic task that throws, and rows would accumulate unnoticed.
            EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "ledger sweep");
        }
    }

    private static boolean isCreatedBefore(Row row, Instant cutoff) {
        try {
            return LedgerRowFormat.read(row.value()).created().isBefore(cutoff);
        } catch (LedgerRowFormat.UnreadableRowException unreadable) {
            return false;
        }
    }

    private void delete(Row row) {
        committer.commit(
                Transaction.empty().withCondition(row.key(), row.version()).withDelete(row.key()));
    }
}
