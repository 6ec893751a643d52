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

/** One start of an entry in a {@link BudgetWorld}, with a clock of its own. */
final class SimulatedEntry {

    static final AccountId ACCOUNT = AccountId.of("account");

    final BudgetWorld world;
    final HolderId id;
    final EntryBudget core;
    boolean frozen;
    boolean dead;
    long rate;
    long burst;
    private final int driftPartsPerMillion;
    /** The call of the table service under way, and its answer once it is there. */
    private Optional<StoreCall> call = Optional.empty();

    private Optional<Runnable> answer = Optional.empty();
    private Optional<Runnable> reading = Optional.empty();
    private long lastTicket;

    SimulatedEntry(BudgetWorld world, HolderId id, BudgetPolicy policy, int driftPartsPerMillion) {
        this.world = world;
        this.id = id;
        this.driftPartsPerMillion = driftPartsPerMillion;
        this.core = new EntryBudget(id, policy, this::clock, new Random(id.hashCode()));
        core.setAccounts(Set.of(ACCOUNT));
    }

    private long clock() {
        return world.now + world.now / 1_000_000 * driftPartsPerMillion;
    }

    boolean acts() {
        return !frozen && !dead;
    }

    InstanceId instance() {
        return id.instance();
    }

    void setRate(long newRate, long newBurst) {
        rate = newRate;
        burst = newBurst;
        carryOut(core.setRate(ACCOUNT, newRate, newBurst));
    }

    void reserve(long tokens, Duration deadline) {
        lastTicket++;
        carryOut(core.reserve(ACCOUNT, lastTicket, tokens, deadline));
    }

    void spendAll() {
        long level = core.level(ACCOUNT);
        if (level > 0) {
            reserve(level, Duration.ZERO);
        }
    }

    void settle(Grant grant, long actual) {
        carryOut(core.settle(ACCOUNT, grant, actual));
    }

    void wake() {
        core.setPeers(world.peersOf(this));
        carryOut(core.wake(ACCOUNT));
    }

    /** Asks for the list, and takes the answer to the asking before. */
    void readList(Set<HolderId.ListedHolder> listed) {
        reading.ifPresent(Runnable::run);
        long askedAt = clock();
        reading = Optional.of(() -> core.listed(listed, askedAt));
    }

    void receive(InstanceId peer, Object message) {
        carryOut(
                message instanceof LoanWish wish
                        ? core.loanAsked(peer, wish)
                        : core.loanAnswered(peer, (Loan) message));
    }

    void carryOut(BudgetStep step) {
        for (BudgetAction action : step.actions()) {
            if (action instanceof BudgetAction.Granted granted) {
                world.granted(this, granted.grant());
            } else if (action instanceof BudgetAction.Refused refused) {
                world.refused(refused);
            } else if (action instanceof BudgetAction.AskLoan ask) {
                world.send(this, ask.peer(), ask.wish());
            } else if (action instanceof BudgetAction.GiveLoan give) {
                world.send(this, give.peer(), give.loan());
            }
        }
    }

    /** Does the next part of a call of the table service: asks, takes effect, is answered. */
    void storeStep(int outcome) {
        if (answer.isPresent()) {
            Runnable arrived = answer.get();
            answer = Optional.empty();
            arrived.run();
            core.publish().forEach(step -> carryOut(step.step()));
        } else if (call.isPresent()) {
            StoreCall made = call.get();
            call = Optional.empty();
            answer = Optional.of(effect(made, outcome));
        } else {
            call = core.keeper().next();
        }
    }

    /** Runs the table service's calls as long as there are any, with the same outcome for all. */
    void storeLoop(int outcome) {
        core.publish().forEach(step -> carryOut(step.step()));
        for (int step = 0; step < 40; step++) {
            storeStep(outcome);
        }
    }

    private Runnable effect(StoreCall made, int outcome) {
        ShareKeeper keeper = core.keeper();
        SimulatedTable table = world.table;
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
