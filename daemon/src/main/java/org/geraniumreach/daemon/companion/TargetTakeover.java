package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.record.Target;
import org.geraniumreach.ports.ModelEngine;
import org.geraniumreach.ports.PlainService;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.serving.queue.ConcurrencyLimit;
import org.geraniumreach.serving.queue.RequestQueue;
import org.geraniumreach.serving.residency.FleetLoads;
import org.geraniumreach.serving.residency.Residency;

/**
 * Takes the target over: waits for its record, acquires the fencing token, waits until orders of the previous companion
 * have expired, and reads the target's state.
 *
 * <p>Invariant: there is a runner only after all of these steps. Safe for use by several threads; blocking calls run on
 * threads of its own.
 */
final class TargetTakeover implements AutoCloseable {

    private static final int SEND_THREADS = 8;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final Duration FLEET_REPORT_VALIDITY = Duration.ofSeconds(5);

    private final CompanionSettings settings;
    private final CompanionDependencies dependencies;
    private final MonotonicClock clock;
    private final AttemptLifecycle lifecycle;
    private final ScheduledExecutorService timer;
    private final Runnable onChange;
    private final FencingTokenStore tokenStore;
    private final LoggingThreadPool sendPool = new LoggingThreadPool("companion-send", SEND_THREADS);
    private final LoggingThreadPool workPool;
    private final LoggingThreadPool startPool = new LoggingThreadPool("companion-start", 1);
    private volatile OrderAuthorization authorization;
    private volatile TargetRunner runner;
    private volatile String notReadyReason = "the companion has not been started";
    private volatile boolean isClosed;
    private long lastFenceCheckAt;
    private long lastRunnerTickAt;

    TargetTakeover(
            CompanionSettings settings,
            CompanionDependencies dependencies,
            AttemptLifecycle lifecycle,
            ScheduledExecutorService timer,
            Runnable onChange) {
        this.settings = settings;
        this.dependencies = dependencies;
        this.clock = dependencies.clock();
        this.lifecycle = lifecycle;
        this.timer = timer;
        this.onChange = onChange;
        this.tokenStore = new FencingTokenStore(
                dependencies.table(), dependencies.target(), dependencies.instance(), dependencies.incarnation());
        int threads = dependencies.engine().isPresent()
                ? settings.loads().atOnce()
                : settings.queue().concurrency();
        this.workPool = new LoggingThreadPool("companion-work", threads);
    }

    void start() {
        startPool.execute(() -> {
            try {
                takeOver();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void takeOver() throws InterruptedException {
        Target target = awaitRecord();
        OrderAuthorization acquired = new OrderAuthorization(target.checksFence(), settings.orderLimit());
        acquired.onFenceAcquired(awaitFence(), clock.nanos());
        authorization = acquired;
        if (!target.checksFence()) {
            awaitPredecessorOrders();
        }
        runner = dependencies.engine().isPresent()
                ? awaitEngine(dependencies.engine().get(), target)
                : newServiceRunner(dependencies.service().orElseThrow());
        notReadyReason = "";
        EventLog.write(EventCode.READY, "companion {} of {}, fence {}", dependencies.instance(), target.id(), fence());
        onChange.run();
    }

    private Target awaitRecord() throws InterruptedException {
        notReadyReason = "no record of target " + dependencies.target();
        Optional<Target> target = dependencies.configuration().current().target(dependencies.target());
        while (target.isEmpty()) {
            Thread.sleep(RETRY_DELAY_MILLIS);
            target = dependencies.configuration().current().target(dependencies.target());
        }
        return target.get();
    }

    private long awaitFence() throws InterruptedException {
        notReadyReason = "the fence is not taken";
        boolean isFailureReported = false;
        while (true) {
            try {
                Optional<Long> number = tokenStore.acquire();
                if (number.isPresent()) {
                    EventLog.write(EventCode.FENCE_TAKEN, "{} of {}", number.get(), dependencies.target());
                    return number.get();
                }
            } catch (PlatformException failure) {
                if (!isFailureReported) {
                    EventLog.write(EventCode.PLATFORM_UNREACHABLE, "fencing token: {}", failure.getMessage());
                }
                isFailureReported = true;
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    /**
     * Waits until no order of the previous companion can be carried out. That companion reads the token at an interval,
     * and an order that it sent before it read the new one stays valid for the order limit.
     *
     * @throws InterruptedException if this companion is closed
     */
    private void awaitPredecessorOrders() throws InterruptedException {
        notReadyReason = "orders of a former companion may still be valid";
        Thread.sleep(settings.orderLimit().plus(settings.fenceCheckInterval()).toMillis());
        authorization.tick(clock.nanos());
        confirmFence();
    }

    private EngineRunner awaitEngine(ModelEngine engine, Target target) throws InterruptedException {
        notReadyReason = "the engine does not answer";
        Residency residency = Residency.create(
                settings.loads().toResidencySettings(target.slots()),
                FleetLoads.create(clock, FLEET_REPORT_VALIDITY),
                clock);
        EngineMonitor engineMonitor = new EngineMonitor(engine, residency, clock, settings.engineCheckAge());
        while (!engineMonitor.refreshIfStale()) {
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        EngineRunner engineRunner = new EngineRunner(new EngineRunner.Collaborators(
                engine,
                residency,
                newQueue(),
                engineMonitor,
                authorization,
                lifecycle,
                clock,
                settings.orphanLimit(),
                settings.orderLimit(),
                sendPool,
                workPool,
                timer,
                onChange));
        engineRunner.stopInheritedStreamsAfter(settings.adoptionLimit());
        return engineRunner;
    }

    private ServiceRunner newServiceRunner(PlainService service) {
        return new ServiceRunner(service, newQueue(), authorization, lifecycle, clock, workPool, onChange);
    }

    private RequestQueue<CompanionAttempt> newQueue() {
        QueueSettings queueSettings = settings.queue();
        return RequestQueue.create(
                queueSettings.policy(),
                queueSettings.toQueueWeights(),
                ConcurrencyLimit.fixed(queueSettings.concurrency()),
                clock);
    }

    Optional<TargetRunner> runner() {
        return Optional.ofNullable(runner);
    }

    Optional<String> reasonNotReady() {
        if (isFencedOut()) {
            return Optional.of("a newer companion has taken over the target");
        }
        return notReadyReason.isEmpty() ? Optional.empty() : Optional.of(notReadyReason);
    }

    boolean isFencedOut() {
        OrderAuthorization current = authorization;
        return current != null && current.isFencedOut();
    }

    long fence() {
        OrderAuthorization current = authorization;
        return current == null ? 0 : current.fence();
    }

    /** Checks the fencing token and the target at their intervals. */
    void tick() {
        OrderAuthorization current = authorization;
        if (current == null || runner == null) {
            return;
        }
        long now = clock.nanos();
        current.tick(now);
        if (now - lastFenceCheckAt > settings.fenceCheckInterval().toNanos()) {
            lastFenceCheckAt = now;
            startPool.execute(this::confirmFence);
        }
        if (now - lastRunnerTickAt > settings.statusInterval().toNanos()) {
            lastRunnerTickAt = now;
            runner.tick();
        }
    }

    /**
     * Reads the fencing token, so that a companion that was replaced stops even if its target does not check tokens.
     */
    private void confirmFence() {
        if (isClosed || authorization.isFencedOut()) {
            return;
        }
        long askedAt = clock.nanos();
        boolean isAwaited = authorization.state(askedAt) == OrderAuthorization.State.UNCONFIRMED;
        readFence(askedAt);
        if (isAwaited) {
            endWait(askedAt);
        }
    }

    private void readFence(long askedAt) {
        try {
            Optional<FencingTokenStore.FencingToken> fence = tokenStore.read();
            if (fence.isEmpty() || fence.get().isOwn()) {
                authorization.onFenceConfirmed(askedAt, clock.nanos());
                return;
            }
            authorization.onFencedOut();
            EventLog.write(
                    EventCode.FENCED_OUT,
                    "{}: fence {} was superseded by fence {}",
                    dependencies.target(),
                    fence(),
                    fence.get().number());
            onChange.run();
        } catch (PlatformException failure) {
            // The companion keeps its target while the table service is unavailable; a companion that was frozen sends
            // no orders until the token can be read again.
            authorization.onConfirmationFailed(askedAt);
        }
    }

    /** Lets the work that has waited for the fencing token go on, or be refused. */
    private void endWait(long askedAt) {
        long now = clock.nanos();
        TargetRunner waiting = runner;
        int requests = waiting == null ? 0 : waiting.unfinishedCount();
        EventLog.write(
                EventCode.FENCE_READ_AFTER_PAUSE,
                "{}: orders {} after {} ms, {} requests running or waiting",
                dependencies.target(),
                authorization.state(now),
                (now - askedAt) / NANOS_PER_MILLI,
                requests);
        if (waiting != null) {
            waiting.tick();
        }
    }

    @Override
    public void close() {
        isClosed = true;
        startPool.shutdownNow();
        sendPool.shutdownNow();
        workPool.shutdownNow();
    }
}
