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
 * Deletes ledger rows past their retention, some at a time.
 *
 * <p>Invariant: a row is deleted only in the version that was seen to be past its retention. Not safe for use by several
 * threads.
 */
final class LedgerSweep {

    private final LedgerSettings settings;
    private final LedgerService.Surroundings surroundings;
    private final GroupCommitter groups;
    private String after = "";

    LedgerSweep(LedgerSettings settings, LedgerService.Surroundings surroundings, GroupCommitter groups) {
        this.settings = settings;
        this.surroundings = surroundings;
        this.groups = groups;
    }

    /** Reads the next rows, and deletes those past their retention. */
    void step() {
        try {
            List<Row> rows = surroundings.table().scan(LedgerRowFormat.TABLE, "", after, settings.sweepRows());
            Instant oldest = surroundings.clock().instant().minus(settings.retention());
            rows.stream().filter(row -> isOlder(row, oldest)).forEach(this::delete);
            after = rows.size() < settings.sweepRows()
                    ? ""
                    : rows.get(rows.size() - 1).key().key();
        } catch (PlatformException failure) {
            EventLog.write(EventCode.PLATFORM_UNREACHABLE, failure, "ledger sweep: {}", failure.getMessage());
        } catch (RuntimeException fault) {
            // A task that throws is never run again, and rows would pile up unnoticed.
            EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "ledger sweep");
        }
    }

    private static boolean isOlder(Row row, Instant oldest) {
        try {
            return LedgerRowFormat.read(row.value()).created().isBefore(oldest);
        } catch (LedgerRowFormat.UnreadableRowException unreadable) {
            return false;
        }
    }

    private void delete(Row row) {
        groups.commit(
                Transaction.empty().withCondition(row.key(), row.version()).withDelete(row.key()));
    }
}
