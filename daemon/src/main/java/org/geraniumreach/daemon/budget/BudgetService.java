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

import org.geraniumreach.coordination.budget.BorrowRequest;
import org.geraniumreach.coordination.budget.BudgetAction;
import org.geraniumreach.coordination.budget.BudgetStep;
import org.geraniumreach.coordination.budget.EntryBudget;
import org.geraniumreach.coordination.budget.Grant;
import org.geraniumreach.coordination.budget.HolderId;
import org.geraniumreach.coordination.budget.HolderId.ListedHolder;
import org.geraniumreach.coordination.budget.HolderRow;
import org.geraniumreach.coordination.budget.Loan;
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
 * Reserves tokens from the budgets of all client accounts at one entry.
 *
 * <p>Invariants: those of {@link EntryBudget}; each callback is called once; table service calls are made by one task at a
 * time. Safe for use by several threads; each client account's state has its own lock, which is not held while a callback
 * runs.
 */
public final class BudgetService implements AutoCloseable {

    /**
     * The collaborators of the service.
     *
     * @param instance this entry's name in the instance list
     * @param linkAddress this entry's link address in the instance list; the socket must already be bound
     * @param incarnation the incarnation of this process
     * @param table the table service
     * @param links the links with the other entries
     * @param instanceList supplies the latest reading of the instance list, empty before the first
     * @param configuration supplies the configuration in force
     * @param clock the monotonic clock
     * @param random the source of random choices, safe for use by several threads
     * @param executor runs scheduled tasks; table service calls block at most one of its threads
     */
    public record Dependencies(
            InstanceId instance,
            InetSocketAddress linkAddress,
            long incarnation,
            TableService table,
            Links links,
            Supplier<Optional<EntryListReading>> instanceList,
            Supplier<Configuration> configuration,
            MonotonicClock clock,
            RandomGenerator random,
            ScheduledExecutorService executor) {}

    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final String ENTRY_ROLE = "entry";

    private final Dependencies dependencies;
    private final EntryBudget budget;
    private final StoreCallExecutor storeCalls;
    private final Map<Long, BudgetCallback> pendingCallbacks = new ConcurrentHashMap<>();
    private final Map<AccountId, Long> scheduledWakeups = new ConcurrentHashMap<>();
    private final AtomicLong lastTicket = new AtomicLong();
    private final CompletableFuture<Void> releaseCompletion = new CompletableFuture<>();
    private Set<AccountId> knownAccounts = Set.of();
    private Optional<EntryListReading> lastReading = Optional.empty();
    private boolean wasProved;
    private ScheduledFuture<?> tickTask;

    /**
     * Creates a service that holds no shares.
     *
     * @param settings the settings, not null
     * @param dependencies the collaborators, not null
     * @throws IllegalArgumentException if the quarantine is too short for the other settings
     */
    public BudgetService(BudgetSettings settings, Dependencies dependencies) {
        this.dependencies = dependencies;
        HolderId self = new HolderId(
                dependencies.instance(), formatAddress(dependencies.linkAddress()), dependencies.incarnation());
        this.budget = new EntryBudget(self, settings.policy(), dependencies.clock(), dependencies.random());
        this.storeCalls = new StoreCallExecutor(budget.shareManager(), dependencies.table());
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Starts acquiring shares and renewing the lease that covers them. */
    public synchronized void start() {
        dependencies
                .links()
                .registerHandler(
                        EnumSet.of(Frame.BodyCase.LOAN_REQUEST, Frame.BodyCase.LOAN_ANSWER, Frame.BodyCase.SHARE_MOVED),
                        new LoanFrameHandler());
        configurationChanged();
        tickTask = dependencies
                .executor()
                .scheduleWithFixedDelay(this::tick, 0, TICK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Reserves tokens for a request, at once or after a short wait in order of arrival.
     *
     * @param account the client account, not null
     * @param tokens the prompt tokens plus the maximum that may be generated, at least 0
     * @param deadlineLeft the time left until the deadline of the request, not null
     * @param callback called once, possibly before this method returns, not null
     */
    public void reserve(AccountId account, long tokens, Duration deadlineLeft, BudgetCallback callback) {
        if (tokens < 0) {
            throw new IllegalArgumentException("negative tokens: " + tokens);
        }
        long ticket = lastTicket.incrementAndGet();
        pendingCallbacks.put(ticket, callback);
        perform(account, budget.reserve(account, ticket, tokens, deadlineLeft));
    }

    /** Applies the rates of the configuration in force; must be called after each change. */
    public synchronized void configurationChanged() {
        Set<AccountId> present = new HashSet<>();
        for (ClientAccount account : dependencies.configuration().get().accounts()) {
            present.add(account.id());
            perform(account.id(), budget.setRate(account.id(), account.tokensPerSecond(), account.burstTokens()));
        }
        for (AccountId removed : knownAccounts) {
            if (!present.contains(removed)) {
                perform(removed, budget.setRate(removed, 0, 0));
            }
        }
        knownAccounts = present;
        budget.setAccounts(present);
    }

    /**
     * Gets the share of a client account that this entry holds, not counting loans.
     *
     * @param account the account, not null
     * @return the share, 0 to 1
     */
    public double share(AccountId account) {
        return (double) budget.ownParts(account) / ShareParts.WHOLE;
    }

    /**
     * Releases all shares to other entries at the end of a drain; nothing is granted afterwards.
     *
     * @return completed when the shares are released; if the process ends before, others can take the shares only after the
     *     quarantine, not null
     */
    public CompletableFuture<Void> release() {
        budget.release();
        return releaseCompletion;
    }

    /** Stops without releasing any shares. */
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
                budget.publishShares().forEach(this::onShareChanged);
                notifyShareRecipients();
            } while (storeCalls.executeNext());
            logProofLoss();
            if (budget.shareManager().isReleased()) {
                releaseCompletion.complete(null);
            }
        } catch (RuntimeException fault) {
            // The executor drops a periodic task that throws, and the lease would lapse unnoticed.
            EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "periodic update of the budget shares");
        }
    }

    private void applyListReading() {
        Optional<EntryListReading> reading = dependencies.instanceList().get();
        if (reading.isEmpty() || reading.equals(lastReading)) {
            return;
        }
        lastReading = reading;
        Set<ListedHolder> listed = reading.get().entries().stream()
                .map(entry -> new ListedHolder(entry.instance(), formatAddress(entry.linkAddress())))
                .collect(Collectors.toSet());
        budget.onHoldersListed(listed, reading.get().requestedAtNanos());
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
        for (RowKey row : budget.shareManager().takeHandoverRecipients()) {
            dependencies.links().find(HolderRow.instanceOf(row)).ifPresent(peer -> peer.send(LoanFrames.shareMoved()));
        }
    }

    private void logProofLoss() {
        boolean isProved = budget.mayUseShares();
        if (wasProved && !isProved) {
            EventLog.write(
                    EventCode.SHARE_LAPSED, "neither the lease nor the instance list proves that the shares are held");
        }
        wasProved = isProved;
    }

    private void perform(AccountId account, BudgetStep step) {
        step.actions().forEach(action -> perform(account, action));
        step.wakeAt().ifPresent(atNanos -> scheduleWakeup(account, atNanos));
    }

    private void perform(AccountId account, BudgetAction action) {
        if (action instanceof BudgetAction.Granted granted) {
            completeRequest(
                    granted.ticket(), callback -> callback.onGranted(new GrantedReservation(account, granted.grant())));
        } else if (action instanceof BudgetAction.Refused refused) {
            ServingException refusal = ServingException.notRun(
                            refused.code(), refused.code().meaning())
                    .withRetryAfter(refused.retryAfter());
            completeRequest(refused.ticket(), callback -> callback.onRefused(refusal));
        } else if (action instanceof BudgetAction.RequestLoan askLoan) {
            dependencies
                    .links()
                    .find(askLoan.peer())
                    .ifPresent(peer -> peer.send(LoanFrames.encode(askLoan.request())));
        } else if (action instanceof BudgetAction.AnswerLoanRequest giveLoan) {
            dependencies.links().find(giveLoan.peer()).ifPresent(peer -> peer.send(LoanFrames.encode(giveLoan.loan())));
        }
    }

    private void completeRequest(long ticket, Consumer<BudgetCallback> notification) {
        BudgetCallback callback = pendingCallbacks.remove(ticket);
        if (callback != null) {
            notification.accept(callback);
        }
    }

    private void scheduleWakeup(AccountId account, long atNanos) {
        Long earlier = scheduledWakeups.get(account);
        if (earlier != null && earlier <= atNanos) {
            return;
        }
        scheduledWakeups.put(account, atNanos);
        long delayNanos = Math.max(0, atNanos - dependencies.clock().nanos());
        dependencies.executor().schedule(() -> wakeUp(account, atNanos), delayNanos, TimeUnit.NANOSECONDS);
    }

    private void wakeUp(AccountId account, long atNanos) {
        scheduledWakeups.remove(account, atNanos);
        perform(account, budget.wake(account));
    }

    /** A reservation that returns unused tokens to the budget of its account. */
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

    /** Handles loan requests, loan answers and notices of moved shares. */
    private final class LoanFrameHandler implements FrameHandler {

        @Override
        public void onOpened(Peer peer) {
            // Peers are looked up when a loan is needed, so none are tracked here.
        }

        @Override
        public void onClosed(Peer peer, String reason) {
            // A loan request without an answer ends by its timeout.
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            try {
                handleFrame(InstanceId.of(peer.hello().getInstance()), frame);
            } catch (IllegalArgumentException invalid) {
                EventLog.write(EventCode.FRAME_REFUSED, "invalid loan frame: {}", invalid.getMessage());
            }
        }

        private void handleFrame(InstanceId peer, Frame frame) {
            switch (frame.getBodyCase()) {
                case LOAN_REQUEST -> {
                    BorrowRequest request = LoanFrames.decodeRequest(frame.getLoanRequest());
                    perform(request.account(), budget.onLoanRequested(peer, request));
                }
                case LOAN_ANSWER -> {
                    Loan loan = LoanFrames.decodeAnswer(frame.getLoanAnswer());
                    perform(loan.account(), budget.onLoanAnswered(peer, loan));
                }
                default -> budget.shareManager().refresh();
            }
        }
    }
}
