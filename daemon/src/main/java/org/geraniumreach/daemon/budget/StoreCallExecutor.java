package org.geraniumreach.daemon.budget;

import java.util.List;
import java.util.Optional;

import org.geraniumreach.coordination.budget.ShareManager;
import org.geraniumreach.coordination.budget.StoreCall;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.TableService;

/**
 * Executes the table service calls that a {@link ShareManager} requests and reports their results to it.
 *
 * <p>Invariant: the keeper receives one result for each call, even if the table service throws. Not safe for use by
 * several threads.
 */
final class StoreCallExecutor {

    private final ShareManager keeper;
    private final TableService table;
    private boolean reachable = true;

    StoreCallExecutor(ShareManager keeper, TableService table) {
        this.keeper = keeper;
        this.table = table;
    }

    /** Executes the next requested call; returns false if there was none. */
    boolean executeNext() {
        Optional<StoreCall> call = keeper.nextCall();
        call.ifPresent(this::execute);
        return call.isPresent();
    }

    private void execute(StoreCall call) {
        Runnable report;
        try {
            report = callTable(call);
            logReachable();
        } catch (PlatformException failure) {
            report = () -> keeper.onCallFailed(failure.effect() == PlatformException.Effect.UNKNOWN);
            logUnreachable(failure);
        } catch (RuntimeException fault) {
            report = () -> keeper.onCallFailed(true);
            EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "table service, for budget shares");
        }
        report.run();
    }

    private Runnable callTable(StoreCall call) throws PlatformException {
        if (call instanceof StoreCall.Read read) {
            Optional<Row> row = table.read(read.key());
            return () -> keeper.onRowRead(row);
        }
        if (call instanceof StoreCall.Scan scan) {
            List<Row> rows = table.scan(scan.table(), "", scan.after(), scan.limit());
            return () -> keeper.onScanned(rows);
        }
        boolean effective = table.commit(((StoreCall.Commit) call).transaction());
        return () -> keeper.onCommitted(effective);
    }

    private void logReachable() {
        if (!reachable) {
            reachable = true;
            EventLog.write(EventCode.PLATFORM_REACHABLE, "table service, for budget shares");
        }
    }

    private void logUnreachable(PlatformException failure) {
        if (reachable) {
            reachable = false;
            EventLog.write(
                    EventCode.PLATFORM_UNREACHABLE, "table service, for budget shares: {}", failure.getMessage());
        }
    }
}
