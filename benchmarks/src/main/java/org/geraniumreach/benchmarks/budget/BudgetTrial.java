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
import org.geraniumreach.coordination.budget.BorrowRequest;
import org.geraniumreach.coordination.budget.BudgetAction;
import org.geraniumreach.coordination.budget.BudgetPolicy;
import org.geraniumreach.coordination.budget.BudgetStep;
import org.geraniumreach.coordination.budget.EntryBudget;
import org.geraniumreach.coordination.budget.Grant;
import org.geraniumreach.coordination.budget.HolderId;
import org.geraniumreach.coordination.budget.LeaseValidity;
import org.geraniumreach.coordination.budget.Loan;
import org.geraniumreach.coordination.budget.ShareParts;
import org.geraniumreach.coordination.budget.SharingPolicy;
import org.geraniumreach.coordination.budget.StoreCall;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.InstanceId;

/**
 * Simulates one account that sends requests recipient several entries, and one central token bucket that decides on the same
 * requests for comparison.
 *
 * <p>Confined recipient one thread. The requests depend on the seed only, not on the policy.
 */
final class BudgetTrial {

    private static final AccountId ACCOUNT = AccountId.of("account");
    private static final double LINK_LATENCY_SECONDS = 0.0005;
    private static final double STORE_LATENCY_SECONDS = 0.005;
    private static final double TICK_INTERVAL_SECONDS = 0.02;
    private static final double WARM_UP_SECONDS = 30;
    private static final double SHIFT_INTERVAL_SECONDS = 120;
    private static final long UNLIMITED_NANOS = Long.MAX_VALUE / 4;

    private final BudgetTrialPlan plan;
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final InMemoryTable table = new InMemoryTable();
    private final List<Entry> entries = new ArrayList<>();
    private final AccountBudget centralBudget;
    private final Map<Long, Request> requests = new HashMap<>();
    private final BudgetTrialResult result = new BudgetTrialResult();
    private long lastTicket;
    private int mostLoadedEntry;

    BudgetTrial(BudgetTrialPlan plan) {
        this.plan = plan;
        LeaseValidity proof = new LeaseValidity(UNLIMITED_NANOS);
        proof.onRenewed(0);
        this.centralBudget =
                new AccountBudget(ACCOUNT, createPolicy(SharingPolicy.staticSplit()), proof, scheduler, new Random(0));
        centralBudget.setRate(plan.rate(), plan.burst());
        centralBudget.setOwnParts(ShareParts.WHOLE, true);
        for (int index = 0; index < plan.entries(); index++) {
            entries.add(new Entry(index));
        }
    }

    private static BudgetPolicy createPolicy(SharingPolicy sharing) {
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

    /** A request, and whether the central bucket admitted it. */
    private static final class Request {
        private final double arrivedAtSeconds;
        private final double durationSeconds;
        private final long actualTokens;
        private boolean centrallyAdmitted;

        private Request(double arrivedAtSeconds, double durationSeconds, long actualTokens) {
            this.arrivedAtSeconds = arrivedAtSeconds;
            this.durationSeconds = durationSeconds;
            this.actualTokens = actualTokens;
        }
    }

    /** An entry. Under sharing by demand it gets its shares through the table; under a static split its share is fixed. */
    private final class Entry {
        private final InstanceId instance;
        private final EntryBudget budget;
        private final AccountBudget staticBudget;
        private long nextWakeNanos = Long.MAX_VALUE;

        private Entry(int index) {
            instance = InstanceId.of("entry" + index);
            SharingPolicy sharing = plan.byDemand() ? SharingPolicy.byDemand() : SharingPolicy.staticSplit();
            budget = new EntryBudget(
                    new HolderId(instance, "address" + index, 1), createPolicy(sharing), scheduler, new Random(index));
            budget.setAccounts(Set.of(ACCOUNT));
            budget.setRate(ACCOUNT, plan.rate(), plan.burst());
            LeaseValidity proof = new LeaseValidity(UNLIMITED_NANOS);
            proof.onRenewed(0);
            staticBudget = new AccountBudget(ACCOUNT, createPolicy(sharing), proof, scheduler, new Random(index));
            staticBudget.setRate(plan.rate(), plan.burst());
            staticBudget.setOwnParts(ShareParts.WHOLE / plan.entries(), true);
        }

        private void tick() {
            budget.setPeers(IntStream.range(0, plan.entries())
                    .mapToObj(other -> entries.get(other).instance)
                    .filter(other -> !other.equals(instance))
                    .toList());
            Set<HolderId.ListedHolder> listedEntries = new HashSet<>();
            for (int index = 0; index < plan.entries(); index++) {
                listedEntries.add(new HolderId.ListedHolder(entries.get(index).instance, "address" + index));
            }
            budget.onHoldersListed(listedEntries, scheduler.nanos());
            callStore();
            scheduler.scheduleAfter(TICK_INTERVAL_SECONDS, this::tick);
        }

        private void callStore() {
            budget.publishShares().forEach(changed -> execute(changed.step()));
            budget.shareManager()
                    .nextCall()
                    .ifPresent(call -> scheduler.scheduleAfter(STORE_LATENCY_SECONDS, () -> {
                        Runnable answer = applyToTable(call);
                        scheduler.scheduleAfter(STORE_LATENCY_SECONDS, () -> {
                            answer.run();
                            callStore();
                        });
                    }));
        }

        private Runnable applyToTable(StoreCall call) {
            if (call instanceof StoreCall.Read read) {
                var row = table.read(read.key());
                return () -> budget.shareManager().onRowRead(row);
            }
            if (call instanceof StoreCall.Scan scan) {
                var rows = table.scan(scan.table());
                return () -> budget.shareManager().onScanned(rows);
            }
            boolean committed = table.commit(((StoreCall.Commit) call).transaction());
            return () -> budget.shareManager().onCommitted(committed);
        }

        private void reserve(long ticket, long tokens, Duration deadline) {
            execute(
                    plan.byDemand()
                            ? budget.reserve(ACCOUNT, ticket, tokens, deadline)
                            : staticBudget.reserve(ticket, tokens, deadline));
        }

        private void settle(Grant grant, long actualTokens) {
            execute(
                    plan.byDemand()
                            ? budget.settle(ACCOUNT, grant, actualTokens)
                            : staticBudget.settle(grant, actualTokens));
        }

        private void receive(InstanceId sender, Object message) {
            execute(
                    message instanceof BorrowRequest loanRequest
                            ? budget.onLoanRequested(sender, loanRequest)
                            : budget.onLoanAnswered(sender, (Loan) message));
        }

        private void execute(BudgetStep step) {
            step.wakeAt().ifPresent(this::scheduleWake);
            for (BudgetAction action : step.actions()) {
                if (action instanceof BudgetAction.Granted granted) {
                    onGranted(granted);
                } else if (action instanceof BudgetAction.Refused refused) {
                    onRefused(requests.remove(refused.ticket()));
                } else if (action instanceof BudgetAction.RequestLoan loanRequestAction) {
                    send(loanRequestAction.peer(), loanRequestAction.request());
                } else if (action instanceof BudgetAction.AnswerLoanRequest loanAction) {
                    send(loanAction.peer(), loanAction.loan());
                }
            }
        }

        private void scheduleWake(long atNanos) {
            if (nextWakeNanos <= atNanos) {
                return;
            }
            nextWakeNanos = atNanos;
            scheduler.scheduleAt(atNanos, () -> {
                if (nextWakeNanos == atNanos) {
                    nextWakeNanos = Long.MAX_VALUE;
                    execute(plan.byDemand() ? budget.wake(ACCOUNT) : staticBudget.wake());
                }
            });
        }

        private void onGranted(BudgetAction.Granted granted) {
            Request request = requests.remove(granted.ticket());
            if (isMeasured(request)) {
                result.recordAdmitted(scheduler.seconds() - request.arrivedAtSeconds, request.centrallyAdmitted);
            }
            scheduler.scheduleAfter(request.durationSeconds, () -> settle(granted.grant(), request.actualTokens));
        }

        private void onRefused(Request request) {
            if (isMeasured(request)) {
                result.recordRefused(request.centrallyAdmitted);
            }
        }

        private void send(InstanceId recipient, Object message) {
            result.recordMessage();
            scheduler.scheduleAfter(LINK_LATENCY_SECONDS, () -> entries.stream()
                    .filter(entry -> entry.instance.equals(recipient))
                    .forEach(entry -> entry.receive(instance, message)));
        }
    }

    private static boolean isMeasured(Request request) {
        return request.arrivedAtSeconds > WARM_UP_SECONDS;
    }

    BudgetTrialResult run() {
        entries.forEach(Entry::tick);
        // Requests have their own random generator, so that they are the same under every policy.
        Random arrivals = new Random(plan.seed());
        scheduler.scheduleAfter(0, () -> onRequestArrived(arrivals));
        if (plan.shifting()) {
            scheduler.scheduleAfter(SHIFT_INTERVAL_SECONDS, this::shiftMostLoadedEntry);
        }
        scheduler.runUntil(plan.durationSeconds());
        result.setCommits(table.commitAttempts());
        return result;
    }

    private void shiftMostLoadedEntry() {
        mostLoadedEntry = (mostLoadedEntry + 1) % plan.entries();
        scheduler.scheduleAfter(SHIFT_INTERVAL_SECONDS, this::shiftMostLoadedEntry);
    }

    private void onRequestArrived(Random random) {
        long promptTokens = 50 + random.nextInt(400);
        long maxGeneratedTokens = 50 + random.nextInt(500);
        long actualTokens = promptTokens + (long) (maxGeneratedTokens * random.nextDouble());
        double meanActualTokens = 249.5 + 0.5 * 299.5;
        Request request = new Request(scheduler.seconds(), 0.05 * (actualTokens - promptTokens), actualTokens);
        decideCentrally(request, promptTokens + maxGeneratedTokens);
        lastTicket++;
        requests.put(lastTicket, request);
        entries.get(entryFor(random.nextInt(plan.entries() + plan.skew() - 1)))
                .reserve(lastTicket, promptTokens + maxGeneratedTokens, Duration.ofSeconds(30));
        double requestsPerSecond = plan.loadFraction() * plan.rate() / meanActualTokens;
        scheduler.scheduleAfter(-Math.log(1 - random.nextDouble()) / requestsPerSecond, () -> onRequestArrived(random));
    }

    /** Maps a random number recipient an entry. The most loaded entry has {@code skew} of the numbers, each other entry has one. */
    private int entryFor(int draw) {
        return draw < plan.skew() ? mostLoadedEntry : (mostLoadedEntry + 1 + draw - plan.skew()) % plan.entries();
    }

    private void decideCentrally(Request request, long tokens) {
        for (BudgetAction action :
                centralBudget.reserve(0, tokens, Duration.ZERO).actions()) {
            if (action instanceof BudgetAction.Granted granted) {
                request.centrallyAdmitted = true;
                scheduler.scheduleAfter(
                        request.durationSeconds, () -> centralBudget.settle(granted.grant(), request.actualTokens));
            }
        }
    }
}
