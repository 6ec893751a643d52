package org.geraniumreach.daemon.entry;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.geraniumreach.daemon.budget.BudgetService;
import org.geraniumreach.daemon.budget.ListReading;
import org.geraniumreach.daemon.configuration.History;
import org.geraniumreach.daemon.configuration.Submitter;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.daemon.http.HttpFront;
import org.geraniumreach.daemon.ledger.LedgerService;
import org.geraniumreach.daemon.node.Daemon;
import org.geraniumreach.daemon.node.Foundation;
import org.geraniumreach.daemon.operator.OperatorEndpoints;
import org.geraniumreach.daemon.operator.OperatorStatus;
import org.geraniumreach.link.LinkAttempts;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.ports.ListedInstance;
import org.geraniumreach.serving.prefix.DecayingPrefixDirectory;
import org.geraniumreach.serving.prefix.PrefixDirectory;
import org.geraniumreach.serving.retry.Backoff;
import org.geraniumreach.serving.retry.RetryBudget;
import org.geraniumreach.serving.retry.RetryPolicy;
import org.geraniumreach.serving.retry.TargetHealth;
import org.geraniumreach.serving.routing.FleetView;
import org.geraniumreach.serving.routing.Router;
import org.geraniumreach.serving.routing.RouterSettings;

/**
 * An entry's process: the callers' front, the operators' port and what they stand on.
 *
 * <p>Invariant: callers are let in only once everything beneath is started. Safe for use by several threads.
 */
public final class EntryDaemon implements Daemon {

    private static final int BUDGET_THREADS = 2;
    private static final int LEDGER_THREADS = 16;
    private static final Duration SHARES_BACK = Duration.ofSeconds(3);

    private final EntrySettings settings;
    private final Foundation foundation;
    private final ScheduledThreadPoolExecutor budgetThreads = threads(BUDGET_THREADS, "budget");
    private final ScheduledThreadPoolExecutor ledgerThreads = threads(LEDGER_THREADS, "ledger");
    private final LinkAttempts attempts;
    private final BudgetService budget;
    private final LedgerService ledger;
    private final Fleet fleet;
    private final ActiveCalls active = new ActiveCalls();
    private final CallerFront callers;
    private final Submitter submitter;
    private HttpFront callersFront;
    private HttpFront operatorFront;
    private volatile boolean draining;

    private EntryDaemon(EntrySettings settings, Foundation foundation) {
        this.settings = settings;
        this.foundation = foundation;
        this.attempts = LinkAttempts.start(
                foundation.links(),
                foundation.linkSettings(),
                foundation.clock(),
                foundation.timer(),
                (event, detail) -> EventLog.write(event, "{}", detail));
        this.budget = new BudgetService(settings.budget(), budgetSurroundings());
        this.ledger = new LedgerService(settings.ledger(), ledgerSurroundings());
        this.fleet = fleet();
        this.callers = new CallerFront(parts(), foundation.membership(), settings.http(), Clock.systemUTC());
        this.submitter = new Submitter(
                foundation.configuration(),
                settings.configuration(),
                foundation.table(),
                foundation.clock(),
                foundation.random());
    }

    /**
     * Starts an entry.
     *
     * @param settings the settings, not null
     * @return the running entry, not null
     * @throws IOException if an address cannot be had
     */
    public static EntryDaemon start(EntrySettings settings) throws IOException {
        Foundation foundation = Foundation.start(settings.foundation(), Foundation.RoleHello.none());
        EntryDaemon daemon = new EntryDaemon(settings, foundation);
        try {
            daemon.startParts();
        } catch (IOException taken) {
            daemon.close();
            throw taken;
        }
        EventLog.write(EventCode.STARTING, "entry {}", foundation.instance());
        return daemon;
    }

    private BudgetService.Surroundings budgetSurroundings() {
        return new BudgetService.Surroundings(
                foundation.instance(),
                settings.node().link(),
                foundation.incarnation(),
                foundation.table(),
                foundation.links(),
                this::listReading,
                foundation.configuration()::current,
                foundation.clock(),
                foundation.random(),
                budgetThreads);
    }

    private Optional<ListReading> listReading() {
        return foundation
                .membership()
                .lastReading()
                .map(reading -> new ListReading(
                        reading.askedNanos(),
                        reading.instances().stream()
                                .filter(listed -> listed.role() == ListedInstance.Role.ENTRY)
                                .toList()));
    }

    private LedgerService.Surroundings ledgerSurroundings() {
        return new LedgerService.Surroundings(
                foundation.instance(),
                foundation.incarnation(),
                foundation.table(),
                foundation.objects(),
                attempts,
                this::isLive,
                this::isGone,
                Clock.systemUTC(),
                foundation.random(),
                ledgerThreads);
    }

    private boolean isLive(InstanceId instance) {
        return instance.equals(foundation.instance())
                || foundation
                        .membership()
                        .get()
                        .member(instance)
                        .filter(member -> member.isLinked() || member.isListed())
                        .isPresent();
    }

    /** An entry that has not read the list yet knows of nobody, which says nothing of who is gone. */
    private boolean isGone(InstanceId instance) {
        return foundation.membership().lastReading().isPresent() && !isLive(instance);
    }

    private Fleet fleet() {
        RoutingSettings routing = settings.routing();
        FleetView view = FleetView.create(foundation.clock());
        TargetHealth health = TargetHealth.create(routing.ejection(), foundation.clock(), foundation.random());
        PrefixDirectory prefixes = DecayingPrefixDirectory.create(
                foundation.clock(), routing.prefixHalfLife(), routing.rememberedPrefixes());
        RouterSettings routerSettings = new RouterSettings(
                routing.weights(),
                Optional.of(FailureDomain.of(settings.node().failureDomain())),
                routing.rememberedAdapters());
        Router router =
                routing.policy().createRouter(view, health::admits, prefixes, routerSettings, foundation.random());
        return new Fleet(view, router, health, prefixes);
    }

    private EntryParts parts() {
        RoutingSettings routing = settings.routing();
        RetryBudget retryBudget = RetryBudget.create(
                foundation.clock(),
                routing.retryRatio(),
                routing.retryFloorPerSecond(),
                RoutingSettings.RETRY_BUDGET_SIZE);
        RetryPolicy retries = RetryPolicy.budgeted(
                retryBudget,
                new Backoff(routing.firstBackoff(), routing.longestBackoff()),
                routing.tries(),
                foundation.random());
        return new EntryParts(
                new Admittance(foundation.configuration()),
                budget,
                ledger,
                fleet,
                attempts,
                active,
                retries,
                retryBudget,
                foundation.metrics(),
                settings.requests(),
                foundation.clock(),
                foundation.random(),
                foundation.timer());
    }

    private void startParts() throws IOException {
        foundation.links().handle(EnumSet.of(Frame.BodyCase.STATUS), fleet);
        foundation.membership().listen((before, after) -> refreshFleet());
        foundation.configuration().listen((before, after, withdrawnKeys) -> {
            active.cancel(withdrawnKeys);
            budget.configurationChanged();
            refreshFleet();
        });
        refreshFleet();
        budget.start();
        ledger.start();
        startMeters();
        operatorFront = HttpFront.start(
                "operator",
                settings.operator().http(),
                settings.operator().address(),
                operatorEndpoints().routes(),
                foundation.blocking());
        callersFront = HttpFront.start("callers", settings.http(), settings.callers(), callers.routes(), Runnable::run);
        foundation.startManagement(this::reasonNotReady);
    }

    private void refreshFleet() {
        fleet.refresh(foundation.membership().get(), foundation.configuration().current());
    }

    private OperatorEndpoints operatorEndpoints() {
        return new OperatorEndpoints(
                KeyDigest.ofHexadecimal(settings.operator().credentialDigest()),
                foundation.configuration(),
                submitter,
                new History(foundation.table(), foundation.clock()),
                new OperatorStatus(
                        foundation.instance(),
                        foundation.configuration(),
                        foundation.membership(),
                        foundation.clock()));
    }

    private void startMeters() {
        foundation.metrics().gauge("geraniumreach.calls.active", "Generations that are running.", active::size);
        foundation
                .metrics()
                .gauge(
                        "geraniumreach.configuration.revision",
                        "The configuration's revision in force.",
                        () -> foundation.configuration().current().revision());
        foundation
                .metrics()
                .gauge(
                        "geraniumreach.companions",
                        "Companions that new work may be sent to.",
                        () -> Fleet.companions(foundation.membership().get()));
    }

    private Optional<String> reasonNotReady() {
        if (draining) {
            return Optional.of("the entry is leaving");
        }
        return foundation.configuration().reasonNotReady();
    }

    @Override
    public void drain() {
        draining = true;
        callers.drain();
        callersFront.drain();
        submitter.close();
        foundation.membership().announceLeaving();
    }

    @Override
    public int running() {
        return callersFront.openCalls() + operatorFront.openCalls();
    }

    @Override
    public Duration drainLimit() {
        return settings.node().drainLimit();
    }

    @Override
    public void close() {
        if (callersFront != null) {
            callersFront.close();
        }
        if (operatorFront != null) {
            operatorFront.close();
        }
        if (draining) {
            giveSharesBack();
        }
        budget.close();
        ledger.close();
        attempts.close();
        budgetThreads.shutdownNow();
        ledgerThreads.shutdownNow();
        foundation.close();
    }

    /** Shares that are not given back stay with nobody until the quarantine is over, and their account is short of them. */
    private void giveSharesBack() {
        long patience = settings.budget().loanDuration().plus(SHARES_BACK).toMillis();
        try {
            budget.release().get(patience, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException unreachable) {
            EventLog.write(EventCode.PLATFORM_UNREACHABLE, "budget shares are not given back");
        }
    }

    private static ScheduledThreadPoolExecutor threads(int count, String name) {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(count, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        return executor;
    }
}
