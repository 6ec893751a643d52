package org.geraniumreach.daemon.ledger;

import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.geraniumreach.coordination.ledger.Companion;
import org.geraniumreach.coordination.ledger.LedgerCall;
import org.geraniumreach.coordination.ledger.LedgerContext;
import org.geraniumreach.coordination.ledger.LedgerPolicy;
import org.geraniumreach.coordination.ledger.LedgerRowFormat;
import org.geraniumreach.coordination.ledger.Sender;
import org.geraniumreach.link.Attempts;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.ports.ObjectStore;
import org.geraniumreach.ports.TableService;

/**
 * Runs each request with an idempotency key at most once.
 *
 * <p>Invariants: those of {@link LedgerCall}; no attempt is sent before it is known to be recorded in its row, so without
 * the table service every call is refused as not run. Safe for use by several threads: each call has its own lock.
 */
public final class LedgerService implements AutoCloseable {

    /**
     * The collaborators of the service.
     *
     * @param instance this entry
     * @param incarnation the incarnation of this process
     * @param table the table service
     * @param objects the object store
     * @param attempts sends attempts to companions
     * @param isEntryLive tells whether an entry is believed to be live; a wrong answer costs time, but never causes a
     *     second run
     * @param isCompanionGone tells whether a companion's instance is known to be gone permanently
     * @param clock the wall clock, which dates rows
     * @param random the source of attempt ids, safe for use by several threads
     * @param executor runs scheduled tasks and blocking platform calls, so it needs several threads
     */
    public record Dependencies(
            InstanceId instance,
            long incarnation,
            TableService table,
            ObjectStore objects,
            Attempts attempts,
            Predicate<InstanceId> isEntryLive,
            Predicate<InstanceId> isCompanionGone,
            Clock clock,
            RandomGenerator random,
            ScheduledExecutorService executor) {}

    private static final int MAX_STORE_ATTEMPTS = 3;
    private static final int MAX_SEND_ATTEMPTS = 3;

    private final LedgerSettings settings;
    private final Dependencies dependencies;
    private final Sender self;
    private final LedgerPolicy policy;
    private final GroupCommitter committer;
    private ScheduledFuture<?> sweepTask;

    /**
     * Creates a service.
     *
     * @param settings the settings, not null
     * @param dependencies the collaborators, not null
     */
    public LedgerService(LedgerSettings settings, Dependencies dependencies) {
        this.settings = settings;
        this.dependencies = dependencies;
        this.self = new Sender(dependencies.instance(), dependencies.incarnation());
        this.policy = new LedgerPolicy(
                settings.patience(),
                settings.pollInterval(),
                settings.takeoverAge(),
                settings.clockError(),
                settings.sendLimit(),
                settings.sealLimit(),
                MAX_STORE_ATTEMPTS,
                MAX_SEND_ATTEMPTS);
        this.committer = new GroupCommitter(
                dependencies.table(), dependencies.executor(), settings.groupSize(), settings.groupWait());
    }

    /** Starts the periodic deletion of rows past their retention. */
    public synchronized void start() {
        LedgerSweep sweep = new LedgerSweep(settings, dependencies, committer);
        long interval = settings.sweepInterval().toNanos();
        sweepTask = dependencies
                .executor()
                .scheduleWithFixedDelay(sweep::sweepBatch, interval, interval, TimeUnit.NANOSECONDS);
    }

    /**
     * Runs a request, or returns the stored answer if it has run before.
     *
     * @param request the request, not null
     * @param dispatcher chooses the companion and creates the frame, not null
     * @return completed with the answer, or with a {@link org.geraniumreach.model.ServingException} that says whether the
     *     request ran, not null
     */
    public CompletableFuture<LedgerAnswer> perform(LedgerRequest request, Dispatcher dispatcher) {
        LedgerContext view = new LedgerContext(
                dependencies.clock()::instant,
                () -> AttemptId.random(dependencies.random()),
                () -> dispatcher
                        .chooseCompanion()
                        .map(chosen -> new Companion(chosen.instance(), chosen.incarnation())),
                this::isLive,
                companion -> dependencies.isCompanionGone().test(companion.instance()));
        LedgerCall call = new LedgerCall(
                LedgerRowFormat.keyOf(request.account(), request.idempotencyKey()),
                LedgerRowFormat.digestOf(request.operation(), request.body()),
                self,
                policy,
                view);
        return new CallRunner(dependencies, settings, committer, call, dispatcher).run();
    }

    private boolean isLive(Sender sender) {
        if (sender.instance().equals(self.instance())) {
            return sender.equals(self);
        }
        return dependencies.isEntryLive().test(sender.instance());
    }

    @Override
    public synchronized void close() {
        if (sweepTask != null) {
            sweepTask.cancel(false);
        }
    }
}
