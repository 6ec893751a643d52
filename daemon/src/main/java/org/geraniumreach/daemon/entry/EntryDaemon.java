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
import org.geraniumreach.daemon.budget.EntryListReading;
import org.geraniumreach.daemon.configuration.ChangeHistory;
import org.geraniumreach.daemon.configuration.Submitter;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.daemon.http.HttpListener;
import org.geraniumreach.daemon.ledger.LedgerService;
import org.geraniumreach.daemon.node.Daemon;
import org.geraniumreach.daemon.node.NodeServices;
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
 * The process of an entry: the HTTP endpoints for callers and operators, and the services that they use.
 *
 * <p>Invariant: the callers' address is opened only after all other services have started. Safe for use by several
 * threads.
 */
public final class EntryDaemon implements Daemon {

    private static final int BUDGET_THREADS = 2;
    private static final int LEDGER_THREADS = 16;
    private static final Duration SHARE_RELEASE_LIMIT = Duration.ofSeconds(3);

    private final EntrySettings settings;
    private final NodeServices nodeServices;
    private final ScheduledThreadPoolExecutor budgetThreads = threads(BUDGET_THREADS, "budget");
    private final ScheduledThreadPoolExecutor ledgerThreads = threads(LEDGER_THREADS, "ledger");
    private final LinkAttempts attempts;
    private final BudgetService budget;
    private final LedgerService ledger;
    private final Fleet fleet;
    private final ActiveCalls activeCalls = new ActiveCalls();
    private final CallerEndpoints callers;
    private final Submitter submitter;
    private HttpListener callersListener;
    private HttpListener operatorListener;
    private volatile boolean draining;

    private EntryDaemon(EntrySettings settings, NodeServices nodeServices) {
        this.settings = settings;
        this.nodeServices = nodeServices;
        this.attempts = LinkAttempts.start(
                nodeServices.links(),
                nodeServices.linkSettings(),
                nodeServices.clock(),
                nodeServices.timer(),
                (event, detail) -> EventLog.write(event, "{}", detail));
        this.budget = new BudgetService(settings.budget(), budgetDependencies());
        this.ledger = new LedgerService(settings.ledger(), ledgerDependencies());
        this.fleet = fleet();
        this.callers =
                new CallerEndpoints(dependencies(), nodeServices.membership(), settings.http(), Clock.systemUTC());
        this.submitter = new Submitter(
                nodeServices.configuration(),
                settings.configuration(),
                nodeServices.table(),
                nodeServices.clock(),
                nodeServices.random());
    }

    /**
     * Starts an entry.
     *
     * @param settings the settings, not null
     * @return the running entry, not null
     * @throws IOException if an address cannot be bound
     */
    public static EntryDaemon start(EntrySettings settings) throws IOException {
        NodeServices nodeServices = NodeServices.start(settings.nodeServices(), NodeServices.RoleHello.none());
        EntryDaemon daemon = new EntryDaemon(settings, nodeServices);
        try {
            daemon.startServices();
        } catch (IOException failure) {
            daemon.close();
            throw failure;
        }
        EventLog.write(EventCode.STARTING, "entry {}", nodeServices.instance());
        return daemon;
    }

    private BudgetService.Dependencies budgetDependencies() {
        return new BudgetService.Dependencies(
                nodeServices.instance(),
                settings.node().link(),
                nodeServices.incarnation(),
                nodeServices.table(),
                nodeServices.links(),
                this::listReading,
                nodeServices.configuration()::current,
                nodeServices.clock(),
                nodeServices.random(),
                budgetThreads);
    }

    private Optional<EntryListReading> listReading() {
        return nodeServices
                .membership()
                .lastReading()
                .map(reading -> new EntryListReading(
                        reading.requestedAtNanos(),
                        reading.instances().stream()
                                .filter(listed -> listed.role() == ListedInstance.Role.ENTRY)
                                .toList()));
    }

    private LedgerService.Dependencies ledgerDependencies() {
        return new LedgerService.Dependencies(
                nodeServices.instance(),
                nodeServices.incarnation(),
                nodeServices.table(),
                nodeServices.objects(),
                attempts,
                this::isLive,
                this::isGone,
                Clock.systemUTC(),
                nodeServices.random(),
                ledgerThreads);
    }

    private boolean isLive(InstanceId instance) {
        return instance.equals(nodeServices.instance())
                || nodeServices
                        .membership()
                        .get()
                        .member(instance)
                        .filter(member -> member.isLinked() || member.isListed())
                        .isPresent();
    }

    /**
     * Queries whether an instance has left. Before the first reading of the instance list no member is known, so none
     * counts as gone.
     */
    private boolean isGone(InstanceId instance) {
        return nodeServices.membership().lastReading().isPresent() && !isLive(instance);
    }

    private Fleet fleet() {
        RoutingSettings routing = settings.routing();
        FleetView view = FleetView.create(nodeServices.clock());
        TargetHealth health = TargetHealth.create(routing.ejection(), nodeServices.clock(), nodeServices.random());
        PrefixDirectory prefixes = DecayingPrefixDirectory.create(
                nodeServices.clock(), routing.prefixHalfLife(), routing.rememberedPrefixes());
        RouterSettings routerSettings = new RouterSettings(
                routing.weights(),
                Optional.of(FailureDomain.of(settings.node().failureDomain())),
                routing.rememberedAdapters());
        Router router =
                routing.policy().createRouter(view, health::admits, prefixes, routerSettings, nodeServices.random());
        return new Fleet(view, router, health, prefixes);
    }

    private EntryDependencies dependencies() {
        RoutingSettings routing = settings.routing();
        RetryBudget retryBudget = RetryBudget.create(
                nodeServices.clock(),
                routing.retryRatio(),
                routing.retryFloorPerSecond(),
                RoutingSettings.MAXIMUM_SAVED_RETRIES);
        RetryPolicy retries = RetryPolicy.budgeted(
                retryBudget,
                new Backoff(routing.firstBackoff(), routing.longestBackoff()),
                routing.tries(),
                nodeServices.random());
        return new EntryDependencies(
                new RequestAuthorizer(nodeServices.configuration()),
                budget,
                ledger,
                fleet,
                attempts,
                activeCalls,
                retries,
                retryBudget,
                nodeServices.metrics(),
                settings.requests(),
                nodeServices.clock(),
                nodeServices.random(),
                nodeServices.timer());
    }

    private void startServices() throws IOException {
        nodeServices.links().registerHandler(EnumSet.of(Frame.BodyCase.STATUS), fleet);
        nodeServices.membership().addListener((before, after) -> refreshFleet());
        nodeServices.configuration().addListener((before, after, withdrawnKeys) -> {
            activeCalls.cancel(withdrawnKeys);
            budget.configurationChanged();
            refreshFleet();
        });
        refreshFleet();
        budget.start();
        ledger.start();
        startMeters();
        operatorListener = HttpListener.start(
                "operator",
                settings.operator().http(),
                settings.operator().address(),
                operatorEndpoints().routes(),
                nodeServices.blocking());
        callersListener =
                HttpListener.start("callers", settings.http(), settings.callers(), callers.routes(), Runnable::run);
        nodeServices.startManagement(this::reasonNotReady);
    }

    private void refreshFleet() {
        fleet.refresh(
                nodeServices.membership().get(), nodeServices.configuration().current());
    }

    private OperatorEndpoints operatorEndpoints() {
        return new OperatorEndpoints(
                KeyDigest.ofHexadecimal(settings.operator().credentialDigest()),
                nodeServices.configuration(),
                submitter,
                new ChangeHistory(nodeServices.table(), nodeServices.clock()),
                new OperatorStatus(
                        nodeServices.instance(),
                        nodeServices.configuration(),
                        nodeServices.membership(),
                        nodeServices.clock()));
    }

    private void startMeters() {
        nodeServices.metrics().gauge("geraniumreach.calls.active", "Generations that are running.", activeCalls::size);
        nodeServices
                .metrics()
                .gauge(
                        "geraniumreach.configuration.revision",
                        "The configuration's revision in force.",
                        () -> nodeServices.configuration().current().revision());
        nodeServices
                .metrics()
                .gauge(
                        "geraniumreach.companions",
                        "Companions that new work may be sent to.",
                        () -> Fleet.countCompanions(nodeServices.membership().get()));
    }

    private Optional<String> reasonNotReady() {
        if (draining) {
            return Optional.of("the entry is leaving");
        }
        return nodeServices.configuration().reasonNotReady();
    }

    @Override
    public void drain() {
        draining = true;
        callers.drain();
        callersListener.drain();
        submitter.close();
        nodeServices.membership().announceLeaving();
    }

    @Override
    public int runningRequests() {
        return callersListener.openCalls() + operatorListener.openCalls();
    }

    @Override
    public Duration drainLimit() {
        return settings.node().drainLimit();
    }

    @Override
    public void close() {
        if (callersListener != null) {
            callersListener.close();
        }
        if (operatorListener != null) {
            operatorListener.close();
        }
        if (draining) {
            releaseShares();
        }
        budget.close();
        ledger.close();
        attempts.close();
        budgetThreads.shutdownNow();
        ledgerThreads.shutdownNow();
        nodeServices.close();
    }

    /**
     * Returns all quota shares. A share that is not returned stays unused until its quarantine is over, and its account
     * lacks it until then.
     */
    private void releaseShares() {
        long limitMillis =
                settings.budget().loanDuration().plus(SHARE_RELEASE_LIMIT).toMillis();
        try {
            budget.release().get(limitMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException failure) {
            EventLog.write(EventCode.PLATFORM_UNREACHABLE, "budget shares could not be released");
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
