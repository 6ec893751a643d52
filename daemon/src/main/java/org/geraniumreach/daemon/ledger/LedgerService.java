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
import org.geraniumreach.coordination.ledger.LedgerPolicy;
import org.geraniumreach.coordination.ledger.LedgerRowFormat;
import org.geraniumreach.coordination.ledger.LedgerView;
import org.geraniumreach.coordination.ledger.Sender;
import org.geraniumreach.link.Attempts;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.ports.ObjectStore;
import org.geraniumreach.ports.TableService;

/**
 * Runs each request with an idempotency key at most once.
 *
 * <p>Invariants: those of {@link LedgerCall}; nothing is sent before the row is known to hold the attempt, so without the
 * table service every call is refused as not run. Safe for use by several threads: each call is under a lock of its own.
 */
public final class LedgerService implements AutoCloseable {

    /**
     * What the service works with.
     *
     * @param instance this entry
     * @param incarnation the number of this start of the process
     * @param table the table service
     * @param objects the object store
     * @param attempts sends to companions
     * @param isEntryLive whether an entry is live as far as is known; a wrong answer costs time, never a second run
     * @param isCompanionGone whether a companion's instance is known to be gone for good
     * @param clock the time of day, for the age of rows
     * @param random the source of attempt ids, safe for use by several threads
     * @param executor runs what waits, and the blocking calls of the platform, so it needs several threads
     */
    public record Surroundings(
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
    private final Surroundings dependencies;
    private final Sender self;
    private final LedgerPolicy policy;
    private final GroupCommitter committer;
    private ScheduledFuture<?> sweepTask;

    /**
     * Makes a service.
     *
     * @param settings the settings, not null
     * @param surroundings what the service works with, not null
     */
    public LedgerService(LedgerSettings settings, Surroundings surroundings) {
        this.settings = settings;
        this.dependencies = surroundings;
        this.self = new Sender(surroundings.instance(), surroundings.incarnation());
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
                surroundings.table(), surroundings.executor(), settings.groupSize(), settings.groupWait());
    }

    /** Begins the sweep of rows past their retention. */
    public synchronized void start() {
        LedgerSweep sweep = new LedgerSweep(settings, dependencies, committer);
        long interval = settings.sweepInterval().toNanos();
        sweepTask = dependencies
                .executor()
                .scheduleWithFixedDelay(sweep::sweepBatch, interval, interval, TimeUnit.NANOSECONDS);
    }

    /**
     * Runs a request, unless it ran before, and gives the answer.
     *
     * @param request the request, not null
     * @param dispatch chooses where it goes, not null
     * @return the answer, or a failure with a {@link org.geraniumreach.model.ServingException} that says whether it ran, not
     *     null
     */
    public CompletableFuture<LedgerAnswer> perform(LedgerRequest request, Dispatch dispatch) {
        LedgerView view = new LedgerView(
                dependencies.clock()::instant,
                () -> AttemptId.random(dependencies.random()),
                () -> dispatch.choose().map(chosen -> new Companion(chosen.instance(), chosen.incarnation())),
                this::isLive,
                companion -> dependencies.isCompanionGone().test(companion.instance()));
        LedgerCall call = new LedgerCall(
                LedgerRowFormat.keyOf(request.account(), request.idempotencyKey()),
                LedgerRowFormat.digestOf(request.operation(), request.body()),
                self,
                policy,
                view);
        return new CallRunner(dependencies, settings, committer, call, dispatch).run();
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
