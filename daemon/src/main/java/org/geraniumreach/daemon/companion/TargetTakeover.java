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
 * Takes the target over: its record, the fence, the wait for a former companion's orders, and a look at the target's state.
 *
 * <p>Invariant: there is a runner only once all of these are done. Safe for use by several threads; what blocks runs on
 * threads of its own.
 */
final class TargetTakeover implements AutoCloseable {

    private static final int SEND_THREADS = 8;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final Duration NEWS_LIMIT = Duration.ofSeconds(5);

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
            CompanionDependencies parts,
            AttemptLifecycle outcomes,
            ScheduledExecutorService timer,
            Runnable changed) {
        this.settings = settings;
        this.dependencies = parts;
        this.clock = parts.clock();
        this.lifecycle = outcomes;
        this.timer = timer;
        this.onChange = changed;
        this.tokenStore = new FencingTokenStore(parts.table(), parts.target(), parts.instance(), parts.incarnation());
        int threads = parts.engine().isPresent()
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
        OrderAuthorization taken = new OrderAuthorization(target.checksFence(), settings.orderLimit());
        taken.onFenceAcquired(awaitFence(), clock.nanos());
        authorization = taken;
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
        boolean reported = false;
        while (true) {
            try {
                Optional<Long> number = tokenStore.acquire();
                if (number.isPresent()) {
                    EventLog.write(EventCode.FENCE_TAKEN, "{} of {}", number.get(), dependencies.target());
                    return number.get();
                }
            } catch (PlatformException failure) {
                if (!reported) {
                    EventLog.write(EventCode.PLATFORM_UNREACHABLE, "fence: {}", failure.getMessage());
                }
                reported = true;
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    /**
     * Waits until no order of a former companion can be carried out any more: it reads its fence at an interval, and what it
     * ordered before it read the new one stays valid for the order limit.
     *
     * @throws InterruptedException if this companion stops
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
                settings.loads().toResidencySettings(target.slots()), FleetLoads.create(clock, NEWS_LIMIT), clock);
        EngineMonitor watch = new EngineMonitor(engine, residency, clock, settings.engineCheckAge());
        while (!watch.refreshIfStale()) {
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        EngineRunner started = new EngineRunner(new EngineRunner.Collaborators(
                engine,
                residency,
                newQueue(),
                watch,
                authorization,
                lifecycle,
                clock,
                settings.orphanLimit(),
                settings.orderLimit(),
                sendPool,
                workPool,
                timer,
                onChange));
        started.stopInheritedStreamsAfter(settings.adoptionLimit());
        return started;
    }

    private ServiceRunner newServiceRunner(PlainService service) {
        return new ServiceRunner(service, newQueue(), authorization, lifecycle, clock, workPool, onChange);
    }

    private RequestQueue<CompanionAttempt> newQueue() {
        QueueSettings queue = settings.queue();
        return RequestQueue.create(
                queue.policy(), queue.toQueueWeights(), ConcurrencyLimit.fixed(queue.concurrency()), clock);
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
        OrderAuthorization held = authorization;
        return held != null && held.isFencedOut();
    }

    long fence() {
        OrderAuthorization held = authorization;
        return held == null ? 0 : held.fence();
    }

    /** Does what is due. */
    void tick() {
        OrderAuthorization held = authorization;
        if (held == null || runner == null) {
            return;
        }
        long now = clock.nanos();
        held.tick(now);
        if (now - lastFenceCheckAt > settings.fenceCheckInterval().toNanos()) {
            lastFenceCheckAt = now;
            startPool.execute(this::confirmFence);
        }
        if (now - lastRunnerTickAt > settings.statusInterval().toNanos()) {
            lastRunnerTickAt = now;
            runner.tick();
        }
    }

    /** Reads the fence again, so that a companion that was replaced stops even if its target does not check. */
    private void confirmFence() {
        if (isClosed || authorization.isFencedOut()) {
            return;
        }
        long askedAt = clock.nanos();
        try {
            Optional<FencingTokenStore.FencingToken> fence = tokenStore.read();
            if (fence.isEmpty() || fence.get().isOwn()) {
                authorization.onFenceConfirmed(askedAt, clock.nanos());
                return;
            }
            authorization.onFencedOut();
            EventLog.write(
                    EventCode.FENCED_OUT,
                    "{}: fence {} is followed by {}",
                    dependencies.target(),
                    fence(),
                    fence.get().number());
            onChange.run();
        } catch (PlatformException failure) {
            // An outage of the store takes no target away from its companion; a frozen companion stays barred until it
            // ends.
            return;
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
