package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.geraniumreach.coordination.SimulatedTable;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.table.Row;

/** One incarnation of an entry in a {@link BudgetSimulation}, with its own drifting clock. */
final class SimulatedEntry {

    static final AccountId ACCOUNT = AccountId.of("account");

    final BudgetSimulation simulation;
    final HolderId id;
    final EntryBudget budget;
    boolean frozen;
    boolean dead;
    long rate;
    long burst;
    private final int driftPartsPerMillion;
    /** The call to the table service that has not taken effect yet. */
    private Optional<StoreCall> pendingCall = Optional.empty();

    private Optional<Runnable> pendingAnswer = Optional.empty();
    private Optional<Runnable> pendingList = Optional.empty();
    private long lastTicket;

    SimulatedEntry(BudgetSimulation simulation, HolderId id, BudgetPolicy policy, int driftPartsPerMillion) {
        this.simulation = simulation;
        this.id = id;
        this.driftPartsPerMillion = driftPartsPerMillion;
        this.budget = new EntryBudget(id, policy, this::clockNanos, new Random(id.hashCode()));
        budget.setAccounts(Set.of(ACCOUNT));
    }

    private long clockNanos() {
        return simulation.now + simulation.now / 1_000_000 * driftPartsPerMillion;
    }

    boolean isActive() {
        return !frozen && !dead;
    }

    InstanceId instance() {
        return id.instance();
    }

    void setRate(long newRate, long newBurst) {
        rate = newRate;
        burst = newBurst;
        carryOut(budget.setRate(ACCOUNT, newRate, newBurst));
    }

    void requestTokens(long tokens, Duration deadline) {
        lastTicket++;
        carryOut(budget.reserve(ACCOUNT, lastTicket, tokens, deadline));
    }

    void requestAllTokens() {
        long level = budget.availableTokens(ACCOUNT);
        if (level > 0) {
            requestTokens(level, Duration.ZERO);
        }
    }

    void settle(Grant grant, long actual) {
        carryOut(budget.settle(ACCOUNT, grant, actual));
    }

    void wake() {
        budget.setPeers(simulation.peersOf(this));
        carryOut(budget.wake(ACCOUNT));
    }

    /** Requests the list and handles the answer to the previous request. */
    void readList(Set<HolderId.ListedHolder> listed) {
        pendingList.ifPresent(Runnable::run);
        long requestedAt = clockNanos();
        pendingList = Optional.of(() -> budget.onHoldersListed(listed, requestedAt));
    }

    void receive(InstanceId peer, Object message) {
        carryOut(
                message instanceof BorrowRequest request
                        ? budget.onLoanRequested(peer, request)
                        : budget.onLoanAnswered(peer, (Loan) message));
    }

    void carryOut(BudgetStep step) {
        for (BudgetAction action : step.actions()) {
            if (action instanceof BudgetAction.Granted granted) {
                simulation.onGranted(this, granted.grant());
            } else if (action instanceof BudgetAction.Refused refused) {
                simulation.onRefused(refused);
            } else if (action instanceof BudgetAction.RequestLoan ask) {
                simulation.send(this, ask.peer(), ask.request());
            } else if (action instanceof BudgetAction.AnswerLoanRequest give) {
                simulation.send(this, give.peer(), give.loan());
            }
        }
    }

    /** Performs the next stage of a call to the table service: request, effect or answer. */
    void advanceStoreCall(int outcome) {
        if (pendingAnswer.isPresent()) {
            Runnable arrivedAnswer = pendingAnswer.get();
            pendingAnswer = Optional.empty();
            arrivedAnswer.run();
            budget.publishShares().forEach(step -> carryOut(step.step()));
        } else if (pendingCall.isPresent()) {
            StoreCall storeCall = pendingCall.get();
            pendingCall = Optional.empty();
            pendingAnswer = Optional.of(applyCall(storeCall, outcome));
        } else {
            pendingCall = budget.shareManager().nextCall();
        }
    }

    /** Runs calls to the table service for up to 40 stages, with the same outcome for all. */
    void runStoreCalls(int outcome) {
        budget.publishShares().forEach(step -> carryOut(step.step()));
        for (int step = 0; step < 40; step++) {
            advanceStoreCall(outcome);
        }
    }

    private Runnable applyCall(StoreCall storeCall, int outcome) {
        ShareManager shareManager = budget.shareManager();
        SimulatedTable table = simulation.table;
        if (outcome == 1) {
            return () -> shareManager.onCallFailed(false);
        }
        if (storeCall instanceof StoreCall.Read read) {
            Optional<Row> row = table.read(read.key());
            return () -> shareManager.onRowRead(row);
        }
        if (storeCall instanceof StoreCall.Scan scan) {
            List<Row> rows = new ArrayList<>(table.scan(scan.table(), scan.after(), scan.limit()));
            return () -> shareManager.onScanned(rows);
        }
        StoreCall.Commit commit = (StoreCall.Commit) storeCall;
        if (outcome == 2) {
            table.commit(commit.transaction());
            return () -> shareManager.onCallFailed(true);
        }
        if (outcome == 3) {
            table.delay(commit.transaction());
            return () -> shareManager.onCallFailed(true);
        }
        boolean effective = table.commit(commit.transaction());
        return () -> shareManager.onCommitted(effective);
    }
}
