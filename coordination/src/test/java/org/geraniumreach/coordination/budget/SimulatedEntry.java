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

/** One start of an entry in a {@link BudgetSimulation}, with a clock of its own. */
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
    /** The call of the table service under way, and its answer once it is there. */
    private Optional<StoreCall> pendingCall = Optional.empty();

    private Optional<Runnable> pendingAnswer = Optional.empty();
    private Optional<Runnable> pendingList = Optional.empty();
    private long lastTicket;

    SimulatedEntry(BudgetSimulation world, HolderId id, BudgetPolicy policy, int driftPartsPerMillion) {
        this.simulation = world;
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

    /** Asks for the list, and takes the answer to the asking before. */
    void readList(Set<HolderId.ListedHolder> listed) {
        pendingList.ifPresent(Runnable::run);
        long askedAt = clockNanos();
        pendingList = Optional.of(() -> budget.listed(listed, askedAt));
    }

    void receive(InstanceId peer, Object message) {
        carryOut(
                message instanceof LoanWish wish
                        ? budget.loanAsked(peer, wish)
                        : budget.loanAnswered(peer, (Loan) message));
    }

    void carryOut(BudgetStep step) {
        for (BudgetAction action : step.actions()) {
            if (action instanceof BudgetAction.Granted granted) {
                simulation.onGranted(this, granted.grant());
            } else if (action instanceof BudgetAction.Refused refused) {
                simulation.onRefused(refused);
            } else if (action instanceof BudgetAction.AskLoan ask) {
                simulation.send(this, ask.peer(), ask.wish());
            } else if (action instanceof BudgetAction.GiveLoan give) {
                simulation.send(this, give.peer(), give.loan());
            }
        }
    }

    /** Does the next part of a call of the table service: asks, takes effect, is answered. */
    void advanceStoreCall(int outcome) {
        if (pendingAnswer.isPresent()) {
            Runnable arrived = pendingAnswer.get();
            pendingAnswer = Optional.empty();
            arrived.run();
            budget.publish().forEach(step -> carryOut(step.step()));
        } else if (pendingCall.isPresent()) {
            StoreCall made = pendingCall.get();
            pendingCall = Optional.empty();
            pendingAnswer = Optional.of(applyCall(made, outcome));
        } else {
            pendingCall = budget.keeper().next();
        }
    }

    /** Runs the table service's calls as long as there are any, with the same outcome for all. */
    void runStoreCalls(int outcome) {
        budget.publish().forEach(step -> carryOut(step.step()));
        for (int step = 0; step < 40; step++) {
            advanceStoreCall(outcome);
        }
    }

    private Runnable applyCall(StoreCall made, int outcome) {
        ShareKeeper keeper = budget.keeper();
        SimulatedTable table = simulation.table;
        if (outcome == 1) {
            return () -> keeper.failed(false);
        }
        if (made instanceof StoreCall.Read read) {
            Optional<Row> row = table.read(read.key());
            return () -> keeper.read(row);
        }
        if (made instanceof StoreCall.Scan scan) {
            List<Row> rows = new ArrayList<>(table.scan(scan.table(), scan.after(), scan.limit()));
            return () -> keeper.scanned(rows);
        }
        StoreCall.Commit commit = (StoreCall.Commit) made;
        if (outcome == 2) {
            table.commit(commit.transaction());
            return () -> keeper.failed(true);
        }
        if (outcome == 3) {
            table.delay(commit.transaction());
            return () -> keeper.failed(true);
        }
        boolean effective = table.commit(commit.transaction());
        return () -> keeper.committed(effective);
    }
}
