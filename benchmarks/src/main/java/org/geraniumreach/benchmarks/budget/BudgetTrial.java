package org.geraniumreach.benchmarks.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.geraniumreach.coordination.budget.AccountBudget;
import org.geraniumreach.coordination.budget.BudgetAction;
import org.geraniumreach.coordination.budget.BudgetPolicy;
import org.geraniumreach.coordination.budget.BudgetStep;
import org.geraniumreach.coordination.budget.EntryBudget;
import org.geraniumreach.coordination.budget.Grant;
import org.geraniumreach.coordination.budget.HolderId;
import org.geraniumreach.coordination.budget.HoldingProof;
import org.geraniumreach.coordination.budget.Loan;
import org.geraniumreach.coordination.budget.LoanWish;
import org.geraniumreach.coordination.budget.ShareParts;
import org.geraniumreach.coordination.budget.SharingPolicy;
import org.geraniumreach.coordination.budget.StoreCall;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.InstanceId;

/**
 * One account's callers at several entries, beside one central bucket that sees the same requests.
 *
 * <p>Confined to one thread. The same seed gives the same requests whatever the policy.
 */
final class BudgetTrial {

    private static final AccountId ACCOUNT = AccountId.of("account");
    private static final double LINK_SECONDS = 0.0005;
    private static final double STORE_SECONDS = 0.005;
    private static final double TICK_SECONDS = 0.02;
    private static final double WARM_UP_SECONDS = 30;
    private static final double SHIFT_SECONDS = 120;
    private static final long NEVER = Long.MAX_VALUE / 4;

    private final BudgetTrialPlan plan;
    private final VirtualTime time = new VirtualTime();
    private final MemoryTable table = new MemoryTable();
    private final List<Entry> entries = new ArrayList<>();
    private final AccountBudget central;
    private final Map<Long, Request> requests = new HashMap<>();
    private final BudgetTrialResult result = new BudgetTrialResult();
    private long lastTicket;
    private int mostLoaded;

    BudgetTrial(BudgetTrialPlan plan) {
        this.plan = plan;
        HoldingProof always = new HoldingProof(NEVER);
        always.renewed(0);
        this.central = new AccountBudget(ACCOUNT, policy(SharingPolicy.staticSplit()), always, time, new Random(0));
        central.setRate(plan.rate(), plan.burst());
        central.setOwnParts(ShareParts.WHOLE, true);
        for (int index = 0; index < plan.entries(); index++) {
            entries.add(new Entry(index));
        }
    }

    private static BudgetPolicy policy(SharingPolicy sharing) {
        return new BudgetPolicy(
                sharing,
                Duration.ofSeconds(5),
                Duration.ofSeconds(12),
                Duration.ofSeconds(3),
                Duration.ofSeconds(24),
                Duration.ofSeconds(2),
                Duration.ofMillis(100),
                Duration.ofSeconds(2),
                Duration.ofSeconds(2),
                0);
    }

    /** A request, as the central bucket decided on it. */
    private static final class Request {
        private final double arrived;
        private final double seconds;
        private final long actual;
        private boolean centrallyAdmitted;

        private Request(double arrived, double seconds, long actual) {
            this.arrived = arrived;
            this.seconds = seconds;
            this.actual = actual;
        }
    }

    /** One entry: by demand, its shares come through the table; by a static split, it has its part from the start. */
    private final class Entry {
        private final InstanceId instance;
        private final EntryBudget budget;
        private final AccountBudget fixed;
        private long nextWake = Long.MAX_VALUE;

        private Entry(int index) {
            instance = InstanceId.of("entry" + index);
            SharingPolicy sharing = plan.byDemand() ? SharingPolicy.byDemand() : SharingPolicy.staticSplit();
            budget = new EntryBudget(
                    new HolderId(instance, "address" + index, 1), policy(sharing), time, new Random(index));
            budget.setAccounts(Set.of(ACCOUNT));
            budget.setRate(ACCOUNT, plan.rate(), plan.burst());
            HoldingProof always = new HoldingProof(NEVER);
            always.renewed(0);
            fixed = new AccountBudget(ACCOUNT, policy(sharing), always, time, new Random(index));
            fixed.setRate(plan.rate(), plan.burst());
            fixed.setOwnParts(ShareParts.WHOLE / plan.entries(), true);
        }

        private void tick() {
            budget.setPeers(IntStream.range(0, plan.entries())
                    .mapToObj(other -> entries.get(other).instance)
                    .filter(other -> !other.equals(instance))
                    .toList());
            Set<HolderId.ListedHolder> listed = new HashSet<>();
            for (int index = 0; index < plan.entries(); index++) {
                listed.add(new HolderId.ListedHolder(entries.get(index).instance, "address" + index));
            }
            budget.listed(listed, time.nanos());
            callStore();
            time.after(TICK_SECONDS, this::tick);
        }

        private void callStore() {
            budget.publish().forEach(changed -> carryOut(changed.step()));
            budget.keeper()
                    .next()
                    .ifPresent(call -> time.after(STORE_SECONDS, () -> {
                        Runnable answer = effect(call);
                        time.after(STORE_SECONDS, () -> {
                            answer.run();
                            callStore();
                        });
                    }));
        }

        private Runnable effect(StoreCall call) {
            if (call instanceof StoreCall.Read read) {
                var row = table.read(read.key());
                return () -> budget.keeper().read(row);
            }
            if (call instanceof StoreCall.Scan scan) {
                var rows = table.scan(scan.table());
                return () -> budget.keeper().scanned(rows);
            }
            boolean effective = table.commit(((StoreCall.Commit) call).transaction());
            return () -> budget.keeper().committed(effective);
        }

        private void reserve(long ticket, long tokens, Duration deadline) {
            carryOut(
                    plan.byDemand()
                            ? budget.reserve(ACCOUNT, ticket, tokens, deadline)
                            : fixed.reserve(ticket, tokens, deadline));
        }

        private void settle(Grant grant, long actual) {
            carryOut(plan.byDemand() ? budget.settle(ACCOUNT, grant, actual) : fixed.settle(grant, actual));
        }

        private void receive(InstanceId from, Object content) {
            carryOut(
                    content instanceof LoanWish wish
                            ? budget.loanAsked(from, wish)
                            : budget.loanAnswered(from, (Loan) content));
        }

        private void carryOut(BudgetStep step) {
            step.wakeAt().ifPresent(this::wakeAt);
            for (BudgetAction action : step.actions()) {
                if (action instanceof BudgetAction.Granted granted) {
                    granted(granted);
                } else if (action instanceof BudgetAction.Refused refused) {
                    refused(requests.remove(refused.ticket()));
                } else if (action instanceof BudgetAction.AskLoan ask) {
                    send(ask.peer(), ask.wish());
                } else if (action instanceof BudgetAction.GiveLoan give) {
                    send(give.peer(), give.loan());
                }
            }
        }

        private void wakeAt(long at) {
            if (nextWake <= at) {
                return;
            }
            nextWake = at;
            time.at(at, () -> {
                if (nextWake == at) {
                    nextWake = Long.MAX_VALUE;
                    carryOut(plan.byDemand() ? budget.wake(ACCOUNT) : fixed.wake());
                }
            });
        }

        private void granted(BudgetAction.Granted granted) {
            Request request = requests.remove(granted.ticket());
            if (isMeasured(request)) {
                result.admitted(time.seconds() - request.arrived, request.centrallyAdmitted);
            }
            time.after(request.seconds, () -> settle(granted.grant(), request.actual));
        }

        private void refused(Request request) {
            if (isMeasured(request)) {
                result.refused(request.centrallyAdmitted);
            }
        }

        private void send(InstanceId to, Object content) {
            result.message();
            time.after(LINK_SECONDS, () -> entries.stream()
                    .filter(entry -> entry.instance.equals(to))
                    .forEach(entry -> entry.receive(instance, content)));
        }
    }

    private static boolean isMeasured(Request request) {
        return request.arrived > WARM_UP_SECONDS;
    }

    BudgetTrialResult run() {
        entries.forEach(Entry::tick);
        // The requests come from generators of their own, so that no policy changes what another one meets.
        Random arrivals = new Random(plan.seed());
        time.after(0, () -> arrive(arrivals));
        if (plan.shifting()) {
            time.after(SHIFT_SECONDS, this::shift);
        }
        time.runUntil(plan.seconds());
        result.commits(table.commits());
        return result;
    }

    private void shift() {
        mostLoaded = (mostLoaded + 1) % plan.entries();
        time.after(SHIFT_SECONDS, this::shift);
    }

    private void arrive(Random random) {
        long prompt = 50 + random.nextInt(400);
        long maximum = 50 + random.nextInt(500);
        long actual = prompt + (long) (maximum * random.nextDouble());
        double meanActual = 249.5 + 0.5 * 299.5;
        Request request = new Request(time.seconds(), 0.05 * (actual - prompt), actual);
        centralDecision(request, prompt + maximum);
        lastTicket++;
        requests.put(lastTicket, request);
        entries.get(entryFor(random.nextInt(plan.entries() + plan.skew() - 1)))
                .reserve(lastTicket, prompt + maximum, Duration.ofSeconds(30));
        double perSecond = plan.load() * plan.rate() / meanActual;
        time.after(-Math.log(1 - random.nextDouble()) / perSecond, () -> arrive(random));
    }

    /** Gets the entry of a draw: the most loaded one has as many numbers as the skew says, the others one each. */
    private int entryFor(int draw) {
        return draw < plan.skew() ? mostLoaded : (mostLoaded + 1 + draw - plan.skew()) % plan.entries();
    }

    private void centralDecision(Request request, long tokens) {
        for (BudgetAction action : central.reserve(0, tokens, Duration.ZERO).actions()) {
            if (action instanceof BudgetAction.Granted granted) {
                request.centrallyAdmitted = true;
                time.after(request.seconds, () -> central.settle(granted.grant(), request.actual));
            }
        }
    }
}
