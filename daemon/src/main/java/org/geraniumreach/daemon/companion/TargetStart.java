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
final class TargetStart implements AutoCloseable {

    private static final int SEND_THREADS = 8;
    private static final long RETRY_MILLIS = 200;
    private static final Duration NEWS_LIMIT = Duration.ofSeconds(5);

    private final CompanionSettings settings;
    private final CompanionParts parts;
    private final MonotonicClock clock;
    private final Outcomes outcomes;
    private final ScheduledExecutorService timer;
    private final Runnable changed;
    private final FenceTaker fences;
    private final GuardedPool sends = new GuardedPool("companion-send", SEND_THREADS);
    private final GuardedPool work;
    private final GuardedPool starts = new GuardedPool("companion-start", 1);
    private volatile OrderPermit permit;
    private volatile TargetRunner runner;
    private volatile String reason = "the companion has not been started";
    private volatile boolean closed;
    private long lastFenceCheck;
    private long lastLook;

    TargetStart(
            CompanionSettings settings,
            CompanionParts parts,
            Outcomes outcomes,
            ScheduledExecutorService timer,
            Runnable changed) {
        this.settings = settings;
        this.parts = parts;
        this.clock = parts.clock();
        this.outcomes = outcomes;
        this.timer = timer;
        this.changed = changed;
        this.fences = new FenceTaker(parts.table(), parts.target(), parts.instance(), parts.incarnation());
        int threads = parts.engine().isPresent()
                ? settings.loads().atOnce()
                : settings.queue().concurrency();
        this.work = new GuardedPool("companion-work", threads);
    }

    void start() {
        starts.execute(() -> {
            try {
                takeOver();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void takeOver() throws InterruptedException {
        Target target = awaitRecord();
        OrderPermit taken = new OrderPermit(target.checksFence(), settings.orderLimit());
        taken.taken(awaitFence(), clock.nanos());
        permit = taken;
        if (!target.checksFence()) {
            awaitFormerOrders();
        }
        runner = parts.engine().isPresent()
                ? awaitEngine(parts.engine().get(), target)
                : serviceRunner(parts.service().orElseThrow());
        reason = "";
        EventLog.write(EventCode.READY, "companion {} of {}, fence {}", parts.instance(), target.id(), fence());
        changed.run();
    }

    private Target awaitRecord() throws InterruptedException {
        reason = "no record of target " + parts.target();
        Optional<Target> target = parts.configuration().current().target(parts.target());
        while (target.isEmpty()) {
            Thread.sleep(RETRY_MILLIS);
            target = parts.configuration().current().target(parts.target());
        }
        return target.get();
    }

    private long awaitFence() throws InterruptedException {
        reason = "the fence is not taken";
        boolean reported = false;
        while (true) {
            try {
                Optional<Long> number = fences.take();
                if (number.isPresent()) {
                    EventLog.write(EventCode.FENCE_TAKEN, "{} of {}", number.get(), parts.target());
                    return number.get();
                }
            } catch (PlatformException failure) {
                if (!reported) {
                    EventLog.write(EventCode.PLATFORM_UNREACHABLE, "fence: {}", failure.getMessage());
                }
                reported = true;
            }
            Thread.sleep(RETRY_MILLIS);
        }
    }

    /**
     * Waits until no order of a former companion can be carried out any more: it reads its fence at an interval, and what it
     * ordered before it read the new one stays valid for the order limit.
     *
     * @throws InterruptedException if this companion stops
     */
    private void awaitFormerOrders() throws InterruptedException {
        reason = "orders of a former companion may still be valid";
        Thread.sleep(settings.orderLimit().plus(settings.fenceCheckInterval()).toMillis());
        permit.tick(clock.nanos());
        confirmFence();
    }

    private EngineRunner awaitEngine(ModelEngine engine, Target target) throws InterruptedException {
        reason = "the engine does not answer";
        Residency residency = Residency.create(
                settings.loads().residency(target.slots()), FleetLoads.create(clock, NEWS_LIMIT), clock);
        EngineWatch watch = new EngineWatch(engine, residency, clock, settings.engineCheckAge());
        while (!watch.confirm()) {
            Thread.sleep(RETRY_MILLIS);
        }
        EngineRunner started = new EngineRunner(new EngineRunner.Collaborators(
                engine,
                residency,
                queue(),
                watch,
                permit,
                outcomes,
                clock,
                settings.orphanLimit(),
                settings.orderLimit(),
                sends,
                work,
                timer,
                changed));
        started.stopLeftStreamsAfter(settings.adoptionLimit());
        return started;
    }

    private ServiceRunner serviceRunner(PlainService service) {
        return new ServiceRunner(service, queue(), permit, outcomes, clock, work, changed);
    }

    private RequestQueue<CompanionAttempt> queue() {
        QueueSettings queue = settings.queue();
        return RequestQueue.create(queue.policy(), queue.weights(), ConcurrencyLimit.fixed(queue.concurrency()), clock);
    }

    Optional<TargetRunner> runner() {
        return Optional.ofNullable(runner);
    }

    Optional<String> reasonNotReady() {
        if (isFencedOut()) {
            return Optional.of("a newer companion has taken over the target");
        }
        return reason.isEmpty() ? Optional.empty() : Optional.of(reason);
    }

    boolean isFencedOut() {
        OrderPermit held = permit;
        return held != null && held.isOut();
    }

    long fence() {
        OrderPermit held = permit;
        return held == null ? 0 : held.fence();
    }

    /** Does what is due. */
    void tick() {
        OrderPermit held = permit;
        if (held == null || runner == null) {
            return;
        }
        long now = clock.nanos();
        held.tick(now);
        if (now - lastFenceCheck > settings.fenceCheckInterval().toNanos()) {
            lastFenceCheck = now;
            starts.execute(this::confirmFence);
        }
        if (now - lastLook > settings.statusInterval().toNanos()) {
            lastLook = now;
            runner.tick();
        }
    }

    /** Reads the fence again, so that a companion that was replaced stops even if its target does not check. */
    private void confirmFence() {
        if (closed || permit.isOut()) {
            return;
        }
        long askedAt = clock.nanos();
        try {
            Optional<FenceTaker.Fence> fence = fences.read();
            if (fence.isEmpty() || fence.get().isOwn()) {
                permit.confirmed(askedAt, clock.nanos());
                return;
            }
            permit.fencedOut();
            EventLog.write(
                    EventCode.FENCED_OUT,
                    "{}: fence {} is followed by {}",
                    parts.target(),
                    fence(),
                    fence.get().number());
            changed.run();
        } catch (PlatformException failure) {
            // An outage of the store takes no target away from its companion; a frozen companion stays barred until it
            // ends.
            return;
        }
    }

    @Override
    public void close() {
        closed = true;
        starts.shutdownNow();
        sends.shutdownNow();
        work.shutdownNow();
    }
}
