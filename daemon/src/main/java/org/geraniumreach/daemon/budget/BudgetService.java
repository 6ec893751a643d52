package org.geraniumreach.daemon.budget;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.geraniumreach.coordination.budget.BudgetAction;
import org.geraniumreach.coordination.budget.BudgetStep;
import org.geraniumreach.coordination.budget.EntryBudget;
import org.geraniumreach.coordination.budget.Grant;
import org.geraniumreach.coordination.budget.HolderId;
import org.geraniumreach.coordination.budget.HolderId.ListedHolder;
import org.geraniumreach.coordination.budget.HolderRow;
import org.geraniumreach.coordination.budget.Loan;
import org.geraniumreach.coordination.budget.LoanWish;
import org.geraniumreach.coordination.budget.ShareParts;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.link.FrameHandler;
import org.geraniumreach.link.Links;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.ClientAccount;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.ports.TableService;

/**
 * The budgets of all client accounts at one entry.
 *
 * <p>Invariants: those of {@link EntryBudget}; each callback is told once; the calls of the table service are made by one
 * task at a time. Safe for use by several threads; each client account's state is under a lock of its own, which is not
 * held while a callback runs.
 */
public final class BudgetService implements AutoCloseable {

    /**
     * What the service works with.
     *
     * @param instance this entry's name on the list
     * @param linkAddress this entry's link address on the list; the socket must be bound already
     * @param incarnation the number of this start of the process
     * @param table the table service
     * @param links the links with the other entries
     * @param instanceList the newest reading of the list, empty before the first
     * @param configuration the configuration in force
     * @param clock the source of elapsed time
     * @param random the source of random choices, safe for use by several threads
     * @param executor runs what waits; calls of the table service block one of its threads at a time
     */
    public record Surroundings(
            InstanceId instance,
            InetSocketAddress linkAddress,
            long incarnation,
            TableService table,
            Links links,
            Supplier<Optional<ListReading>> instanceList,
            Supplier<Configuration> configuration,
            MonotonicClock clock,
            RandomGenerator random,
            ScheduledExecutorService executor) {}

    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final String ENTRY_ROLE = "entry";

    private final Surroundings dependencies;
    private final EntryBudget budget;
    private final StoreCallExecutor storeCalls;
    private final Map<Long, BudgetCallback> pendingCallbacks = new ConcurrentHashMap<>();
    private final Map<AccountId, Long> scheduledWakeups = new ConcurrentHashMap<>();
    private final AtomicLong lastTicket = new AtomicLong();
    private final CompletableFuture<Void> releaseCompletion = new CompletableFuture<>();
    private Set<AccountId> knownAccounts = Set.of();
    private Optional<ListReading> lastReading = Optional.empty();
    private boolean wasProved;
    private ScheduledFuture<?> tickTask;

    /**
     * Makes a service that holds nothing yet.
     *
     * @param settings the settings, not null
     * @param surroundings what the service works with, not null
     * @throws IllegalArgumentException if the quarantine is too short for the other settings
     */
    public BudgetService(BudgetSettings settings, Surroundings surroundings) {
        this.dependencies = surroundings;
        HolderId self = new HolderId(
                surroundings.instance(), formatAddress(surroundings.linkAddress()), surroundings.incarnation());
        this.budget = new EntryBudget(self, settings.policy(), surroundings.clock(), surroundings.random());
        this.storeCalls = new StoreCallExecutor(budget.keeper(), surroundings.table());
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Begins to take and keep shares. */
    public synchronized void start() {
        dependencies
                .links()
                .handle(
                        EnumSet.of(Frame.BodyCase.LOAN_REQUEST, Frame.BodyCase.LOAN_ANSWER, Frame.BodyCase.SHARE_MOVED),
                        new LoanFrameHandler());
        configurationChanged();
        tickTask = dependencies
                .executor()
                .scheduleWithFixedDelay(this::tick, 0, TICK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Sets tokens aside for a request, at once or after a short wait in order of arrival.
     *
     * @param account the client account, not null
     * @param tokens the prompt and the most that may be generated, at least 0
     * @param deadlineLeft the time that the request has left, not null
     * @param callback told once, maybe before this method returns, not null
     */
    public void reserve(AccountId account, long tokens, Duration deadlineLeft, BudgetCallback callback) {
        if (tokens < 0) {
            throw new IllegalArgumentException("negative tokens: " + tokens);
        }
        long ticket = lastTicket.incrementAndGet();
        pendingCallbacks.put(ticket, callback);
        perform(account, budget.reserve(account, ticket, tokens, deadlineLeft));
    }

    /** Takes the rates of the configuration now in force; call after each change. */
    public synchronized void configurationChanged() {
        Set<AccountId> present = new HashSet<>();
        for (ClientAccount account : dependencies.configuration().get().accounts()) {
            present.add(account.id());
            perform(account.id(), budget.setRate(account.id(), account.tokensPerSecond(), account.burstTokens()));
        }
        for (AccountId gone : knownAccounts) {
            if (!present.contains(gone)) {
                perform(gone, budget.setRate(gone, 0, 0));
            }
        }
        knownAccounts = present;
        budget.setAccounts(present);
    }

    /**
     * Gets the share of a client account that this entry holds itself, loans aside.
     *
     * @param account the account, not null
     * @return the share, 0 to 1
     */
    public double share(AccountId account) {
        return (double) budget.ownParts(account) / ShareParts.WHOLE;
    }

    /**
     * Puts all shares back for others to take, at the end of a drain; nothing is granted afterwards.
     *
     * @return completed when the shares are back; a process that ends before loses nothing but time, not null
     */
    public CompletableFuture<Void> release() {
        budget.release();
        return releaseCompletion;
    }

    /** Stops without putting anything back. */
    @Override
    public synchronized void close() {
        if (tickTask != null) {
            tickTask.cancel(false);
        }
    }

    private void tick() {
        try {
            applyListReading();
            budget.setPeers(linkedEntries());
            do {
                budget.publish().forEach(this::onShareChanged);
                notifyShareRecipients();
            } while (storeCalls.executeNext());
            logProofLoss();
            if (budget.keeper().isReleased()) {
                releaseCompletion.complete(null);
            }
        } catch (RuntimeException fault) {
            // A task that throws is never run again, and the lease would lapse unnoticed.
            EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "keeping the budget's shares");
        }
    }

    private void applyListReading() {
        Optional<ListReading> reading = dependencies.instanceList().get();
        if (reading.isEmpty() || reading.equals(lastReading)) {
            return;
        }
        lastReading = reading;
        Set<ListedHolder> listed = reading.get().entries().stream()
                .map(entry -> new ListedHolder(entry.instance(), formatAddress(entry.linkAddress())))
                .collect(Collectors.toSet());
        budget.listed(listed, reading.get().requestedAtNanos());
    }

    private List<InstanceId> linkedEntries() {
        return dependencies.links().peers().stream()
                .filter(peer -> peer.hello().getRole().equals(ENTRY_ROLE))
                .map(peer -> InstanceId.of(peer.hello().getInstance()))
                .filter(peer -> !peer.equals(dependencies.instance()))
                .distinct()
                .toList();
    }

    private void onShareChanged(EntryBudget.AccountStep changed) {
        EventLog.write(EventCode.SHARE_CHANGED, "account {}, share {}", changed.account(), share(changed.account()));
        perform(changed.account(), changed.step());
    }

    private void notifyShareRecipients() {
        for (RowKey row : budget.keeper().takeHandedOverTo()) {
            dependencies.links().find(HolderRow.instanceOf(row)).ifPresent(peer -> peer.send(LoanFrames.shareMoved()));
        }
    }

    private void logProofLoss() {
        boolean holds = budget.isProved();
        if (wasProved && !holds) {
            EventLog.write(EventCode.SHARE_LAPSED, "neither the lease nor the list proves the shares");
        }
        wasProved = holds;
    }

    private void perform(AccountId account, BudgetStep step) {
        step.actions().forEach(action -> perform(account, action));
        step.wakeAt().ifPresent(at -> scheduleWakeup(account, at));
    }

    private void perform(AccountId account, BudgetAction action) {
        if (action instanceof BudgetAction.Granted granted) {
            completeRequest(
                    granted.ticket(), callback -> callback.granted(new GrantedReservation(account, granted.grant())));
        } else if (action instanceof BudgetAction.Refused refused) {
            ServingException refusal = ServingException.notRun(
                            refused.code(), refused.code().meaning())
                    .withRetryAfter(refused.retryAfter());
            completeRequest(refused.ticket(), callback -> callback.refused(refusal));
        } else if (action instanceof BudgetAction.AskLoan ask) {
            dependencies.links().find(ask.peer()).ifPresent(peer -> peer.send(LoanFrames.encode(ask.wish())));
        } else if (action instanceof BudgetAction.GiveLoan give) {
            dependencies.links().find(give.peer()).ifPresent(peer -> peer.send(LoanFrames.encode(give.loan())));
        }
    }

    private void completeRequest(long ticket, Consumer<BudgetCallback> how) {
        BudgetCallback callback = pendingCallbacks.remove(ticket);
        if (callback != null) {
            how.accept(callback);
        }
    }

    private void scheduleWakeup(AccountId account, long at) {
        Long earlier = scheduledWakeups.get(account);
        if (earlier != null && earlier <= at) {
            return;
        }
        scheduledWakeups.put(account, at);
        long delay = Math.max(0, at - dependencies.clock().nanos());
        dependencies.executor().schedule(() -> wakeUp(account, at), delay, TimeUnit.NANOSECONDS);
    }

    private void wakeUp(AccountId account, long at) {
        scheduledWakeups.remove(account, at);
        perform(account, budget.wake(account));
    }

    /** A reservation that gives back through the service. */
    private final class GrantedReservation implements Reservation {

        private final AccountId account;
        private final Grant grant;

        private GrantedReservation(AccountId account, Grant grant) {
            this.account = account;
            this.grant = grant;
        }

        @Override
        public long tokens() {
            return grant.tokens();
        }

        @Override
        public void settle(long actualTokens) {
            perform(account, budget.settle(account, grant, actualTokens));
        }
    }

    /** Takes the frames of loans. */
    private final class LoanFrameHandler implements FrameHandler {

        @Override
        public void opened(Peer peer) {
            // Peers are looked up when a loan is needed.
        }

        @Override
        public void closed(Peer peer, String reason) {
            // A loan request without an answer is given up by its time limit.
        }

        @Override
        public void received(Peer peer, Frame frame) {
            try {
                handleFrame(InstanceId.of(peer.hello().getInstance()), frame);
            } catch (IllegalArgumentException invalid) {
                EventLog.write(EventCode.FRAME_REFUSED, "loan frame: {}", invalid.getMessage());
            }
        }

        private void handleFrame(InstanceId peer, Frame frame) {
            switch (frame.getBodyCase()) {
                case LOAN_REQUEST -> {
                    LoanWish wish = LoanFrames.decodeRequest(frame.getLoanRequest());
                    perform(wish.account(), budget.loanAsked(peer, wish));
                }
                case LOAN_ANSWER -> {
                    Loan loan = LoanFrames.decodeAnswer(frame.getLoanAnswer());
                    perform(loan.account(), budget.loanAnswered(peer, loan));
                }
                default -> budget.keeper().refresh();
            }
        }
    }
}
