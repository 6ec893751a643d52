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
     * @param list the newest reading of the list, empty before the first
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
            Supplier<Optional<ListReading>> list,
            Supplier<Configuration> configuration,
            MonotonicClock clock,
            RandomGenerator random,
            ScheduledExecutorService executor) {}

    private static final Duration TICK = Duration.ofMillis(100);
    private static final String ENTRY_ROLE = "entry";

    private final Surroundings surroundings;
    private final EntryBudget core;
    private final StoreDriver store;
    private final Map<Long, BudgetCallback> waiting = new ConcurrentHashMap<>();
    private final Map<AccountId, Long> wakes = new ConcurrentHashMap<>();
    private final AtomicLong tickets = new AtomicLong();
    private final CompletableFuture<Void> released = new CompletableFuture<>();
    private Set<AccountId> known = Set.of();
    private Optional<ListReading> lastReading = Optional.empty();
    private boolean proved;
    private ScheduledFuture<?> ticking;

    /**
     * Makes a service that holds nothing yet.
     *
     * @param settings the settings, not null
     * @param surroundings what the service works with, not null
     * @throws IllegalArgumentException if the quarantine is too short for the other settings
     */
    public BudgetService(BudgetSettings settings, Surroundings surroundings) {
        this.surroundings = surroundings;
        HolderId self =
                new HolderId(surroundings.instance(), textOf(surroundings.linkAddress()), surroundings.incarnation());
        this.core = new EntryBudget(self, settings.policy(), surroundings.clock(), surroundings.random());
        this.store = new StoreDriver(core.keeper(), surroundings.table());
    }

    private static String textOf(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Begins to take and keep shares. */
    public synchronized void start() {
        surroundings
                .links()
                .handle(
                        EnumSet.of(Frame.BodyCase.LOAN_REQUEST, Frame.BodyCase.LOAN_ANSWER, Frame.BodyCase.SHARE_MOVED),
                        new LoanHandler());
        configurationChanged();
        ticking = surroundings.executor().scheduleWithFixedDelay(this::tick, 0, TICK.toNanos(), TimeUnit.NANOSECONDS);
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
        long ticket = tickets.incrementAndGet();
        waiting.put(ticket, callback);
        carryOut(account, core.reserve(account, ticket, tokens, deadlineLeft));
    }

    /** Takes the rates of the configuration now in force; call after each change. */
    public synchronized void configurationChanged() {
        Set<AccountId> present = new HashSet<>();
        for (ClientAccount account : surroundings.configuration().get().accounts()) {
            present.add(account.id());
            carryOut(account.id(), core.setRate(account.id(), account.tokensPerSecond(), account.burstTokens()));
        }
        for (AccountId gone : known) {
            if (!present.contains(gone)) {
                carryOut(gone, core.setRate(gone, 0, 0));
            }
        }
        known = present;
        core.setAccounts(present);
    }

    /**
     * Gets the share of a client account that this entry holds itself, loans aside.
     *
     * @param account the account, not null
     * @return the share, 0 to 1
     */
    public double share(AccountId account) {
        return (double) core.ownParts(account) / ShareParts.WHOLE;
    }

    /**
     * Puts all shares back for others to take, at the end of a drain; nothing is granted afterwards.
     *
     * @return completed when the shares are back; a process that ends before loses nothing but time, not null
     */
    public CompletableFuture<Void> release() {
        core.release();
        return released;
    }

    /** Stops without putting anything back. */
    @Override
    public synchronized void close() {
        if (ticking != null) {
            ticking.cancel(false);
        }
    }

    private void tick() {
        try {
            takeList();
            core.setPeers(peers());
            do {
                core.publish().forEach(this::published);
                tellRecipients();
            } while (store.step());
            noteProof();
            if (core.keeper().isReleased()) {
                released.complete(null);
            }
        } catch (RuntimeException fault) {
            // A task that throws is never run again, and the lease would lapse unnoticed.
            EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "keeping the budget's shares");
        }
    }

    private void takeList() {
        Optional<ListReading> reading = surroundings.list().get();
        if (reading.isEmpty() || reading.equals(lastReading)) {
            return;
        }
        lastReading = reading;
        Set<ListedHolder> listed = reading.get().entries().stream()
                .map(entry -> new ListedHolder(entry.instance(), textOf(entry.linkAddress())))
                .collect(Collectors.toSet());
        core.listed(listed, reading.get().askedNanos());
    }

    private List<InstanceId> peers() {
        return surroundings.links().peers().stream()
                .filter(peer -> peer.hello().getRole().equals(ENTRY_ROLE))
                .map(peer -> InstanceId.of(peer.hello().getInstance()))
                .filter(peer -> !peer.equals(surroundings.instance()))
                .distinct()
                .toList();
    }

    private void published(EntryBudget.AccountStep changed) {
        EventLog.write(EventCode.SHARE_CHANGED, "account {}, share {}", changed.account(), share(changed.account()));
        carryOut(changed.account(), changed.step());
    }

    private void tellRecipients() {
        for (RowKey row : core.keeper().takeHandedOverTo()) {
            surroundings.links().find(HolderRow.instanceOf(row)).ifPresent(peer -> peer.send(LoanFrames.shareMoved()));
        }
    }

    private void noteProof() {
        boolean holds = core.isProved();
        if (proved && !holds) {
            EventLog.write(EventCode.SHARE_LAPSED, "neither the lease nor the list proves the shares");
        }
        proved = holds;
    }

    private void carryOut(AccountId account, BudgetStep step) {
        step.actions().forEach(action -> carryOut(account, action));
        step.wakeAt().ifPresent(at -> wakeAt(account, at));
    }

    private void carryOut(AccountId account, BudgetAction action) {
        if (action instanceof BudgetAction.Granted granted) {
            answer(granted.ticket(), callback -> callback.granted(new GrantedReservation(account, granted.grant())));
        } else if (action instanceof BudgetAction.Refused refused) {
            ServingException refusal = ServingException.notRun(
                            refused.code(), refused.code().meaning())
                    .withRetryAfter(refused.retryAfter());
            answer(refused.ticket(), callback -> callback.refused(refusal));
        } else if (action instanceof BudgetAction.AskLoan ask) {
            surroundings.links().find(ask.peer()).ifPresent(peer -> peer.send(LoanFrames.of(ask.wish())));
        } else if (action instanceof BudgetAction.GiveLoan give) {
            surroundings.links().find(give.peer()).ifPresent(peer -> peer.send(LoanFrames.of(give.loan())));
        }
    }

    private void answer(long ticket, Consumer<BudgetCallback> how) {
        BudgetCallback callback = waiting.remove(ticket);
        if (callback != null) {
            how.accept(callback);
        }
    }

    private void wakeAt(AccountId account, long at) {
        Long earlier = wakes.get(account);
        if (earlier != null && earlier <= at) {
            return;
        }
        wakes.put(account, at);
        long delay = Math.max(0, at - surroundings.clock().nanos());
        surroundings.executor().schedule(() -> wake(account, at), delay, TimeUnit.NANOSECONDS);
    }

    private void wake(AccountId account, long at) {
        wakes.remove(account, at);
        carryOut(account, core.wake(account));
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
            carryOut(account, core.settle(account, grant, actualTokens));
        }
    }

    /** Takes the frames of loans. */
    private final class LoanHandler implements FrameHandler {

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
                take(InstanceId.of(peer.hello().getInstance()), frame);
            } catch (IllegalArgumentException invalid) {
                EventLog.write(EventCode.FRAME_REFUSED, "loan frame: {}", invalid.getMessage());
            }
        }

        private void take(InstanceId peer, Frame frame) {
            switch (frame.getBodyCase()) {
                case LOAN_REQUEST -> {
                    LoanWish wish = LoanFrames.wishIn(frame.getLoanRequest());
                    carryOut(wish.account(), core.loanAsked(peer, wish));
                }
                case LOAN_ANSWER -> {
                    Loan loan = LoanFrames.loanIn(frame.getLoanAnswer());
                    carryOut(loan.account(), core.loanAnswered(peer, loan));
                }
                default -> core.keeper().refresh();
            }
        }
    }
}
