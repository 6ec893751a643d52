package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.link.FrameHandler;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Leaving;
import org.geraniumreach.messages.Status;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.Target;

/**
 * A companion, which answers entries over links and is the only process that calls its target.
 *
 * <p>Invariants: no work is accepted before the fencing token is held and the target's state is known, nor after
 * {@link #drain}; an attempt starts at most once; its output is retained until its entry has acknowledged it or has
 * been without a link for too long. Safe for use by several threads.
 */
public final class CompanionNode implements AutoCloseable {

    private static final Set<Frame.BodyCase> HANDLED_FRAMES = EnumSet.of(
            Frame.BodyCase.RUN,
            Frame.BodyCase.CANCEL,
            Frame.BodyCase.RESUME,
            Frame.BodyCase.ACKNOWLEDGE,
            Frame.BodyCase.SEAL);
    private static final String ENTRY_ROLE = "entry";
    private static final Duration STARTING_RETRY_AFTER = Duration.ofMillis(500);
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);
    private static final Duration MIN_REPORT_GAP = Duration.ofMillis(100);

    private final CompanionSettings settings;
    private final CompanionDependencies dependencies;
    private final AttemptShards attempts;
    private final AttemptLifecycle lifecycle;
    private final AttemptRequestHandler requestHandler;
    private final StatusReporter reporter = new StatusReporter();
    private final ScheduledThreadPoolExecutor timer = newTimer();
    private final TargetTakeover takeover;
    private final AtomicBoolean isReportScheduled = new AtomicBoolean();
    private volatile boolean isDraining;
    private volatile long lastReportAt;

    private CompanionNode(CompanionSettings settings, CompanionDependencies dependencies) {
        this.settings = settings;
        this.dependencies = dependencies;
        this.attempts = new AttemptShards(settings, dependencies.clock());
        StartCheck startCheck = new StartCheck(dependencies);
        this.lifecycle = new AttemptLifecycle(attempts, startCheck);
        this.takeover = new TargetTakeover(settings, dependencies, lifecycle, timer, this::scheduleReport);
        this.requestHandler = new AttemptRequestHandler(
                settings, dependencies, attempts, lifecycle, startCheck, new TakenOverTarget());
    }

    /**
     * Creates a companion and registers it for frames, so that it answers as soon as links open.
     *
     * @param settings the settings, not null
     * @param dependencies the services that it uses, not null
     * @return the companion, which accepts no work before {@link #start}, not null
     */
    public static CompanionNode create(CompanionSettings settings, CompanionDependencies dependencies) {
        CompanionNode node = new CompanionNode(settings, dependencies);
        dependencies.links().registerHandler(HANDLED_FRAMES, node.new LinkHandler());
        dependencies.configuration().addListener(node::configurationChanged);
        return node;
    }

    private static ScheduledThreadPoolExecutor newTimer() {
        ThreadFactory threads = task -> {
            Thread thread = new Thread(task, "companion-timer");
            thread.setDaemon(true);
            return thread;
        };
        return new ScheduledThreadPoolExecutor(1, threads, new ThreadPoolExecutor.DiscardPolicy());
    }

    /** Starts the takeover of the target; work is accepted once that is done. */
    public void start() {
        takeover.start();
        timer.scheduleWithFixedDelay(this::tick, TICK_PERIOD.toNanos(), TICK_PERIOD.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Gets the reason why no work is accepted.
     *
     * @return the reason, or empty if work is accepted
     */
    public Optional<String> reasonNotReady() {
        if (isDraining) {
            return Optional.of("the companion is leaving");
        }
        return takeover.reasonNotReady();
    }

    /**
     * Gets the fencing token, which is sent in the Hello.
     *
     * @return the token, 0 before it is acquired
     */
    public long fence() {
        return takeover.fence();
    }

    /** Provides the target's runner once the target is taken over. */
    private final class TakenOverTarget implements AttemptRequestHandler.RunnerProvider {

        @Override
        public TargetRunner forNewWork() throws ServingException {
            if (isDraining) {
                throw ServingException.notRun(
                        ResultCode.DRAINING, "companion " + dependencies.instance() + " is leaving");
            }
            if (takeover.isFencedOut()) {
                throw ServingException.notRun(
                        ResultCode.FENCED, "a newer companion has taken over " + dependencies.target());
            }
            return takeover.runner()
                    .orElseThrow(() -> ServingException.notRun(ResultCode.NO_TARGET, "the companion is starting")
                            .withRetryAfter(STARTING_RETRY_AFTER));
        }

        @Override
        public Optional<TargetRunner> current() {
            return takeover.runner();
        }
    }

    /** Passes events of links to the request handler, the status reporter and the attempts. */
    private final class LinkHandler implements FrameHandler {

        @Override
        public void onOpened(Peer peer) {
            if (peer.hello().getRole().equals(ENTRY_ROLE)) {
                reporter.onLinkOpened(peer, status());
            }
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            requestHandler.onFrame(peer, frame);
        }

        @Override
        public void onWritable(Peer peer) {
            attempts.all().forEach(attempt -> attempt.onWritable(peer));
        }

        @Override
        public void onClosed(Peer peer, String reason) {
            reporter.onLinkClosed(peer);
            long now = dependencies.clock().nanos();
            attempts.all().forEach(attempt -> attempt.onLinkClosed(peer, now));
        }
    }

    private Status status() {
        Status.Builder status = Status.newBuilder()
                .setTarget(dependencies.target().value())
                .setDraining(reasonNotReady().isPresent())
                .setFence(fence());
        dependencies
                .configuration()
                .current()
                .target(dependencies.target())
                .map(Target::slots)
                .ifPresent(status::setSlots);
        takeover.runner().ifPresent(running -> running.describe(status));
        return status.build();
    }

    private void scheduleReport() {
        if (isReportScheduled.compareAndSet(false, true)) {
            timer.schedule(this::report, MIN_REPORT_GAP.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void report() {
        isReportScheduled.set(false);
        lastReportAt = dependencies.clock().nanos();
        reporter.report(status());
    }

    private void tick() {
        try {
            requestHandler.tick();
            takeover.tick();
            if (dependencies.clock().nanos() - lastReportAt
                    > settings.statusInterval().toNanos()) {
                scheduleReport();
            }
        } catch (RuntimeException failure) {
            // An exception would cancel the periodic task, and expired and orphaned attempts would never be ended.
            EventLog.write(EventCode.UNEXPECTED_FAILURE, failure, "periodic task of the companion failed");
        }
    }

    private void configurationChanged(Configuration before, Configuration after, Set<KeyDigest> withdrawn) {
        if (withdrawn.isEmpty()) {
            return;
        }
        int cancelled = 0;
        for (CompanionAttempt attempt : attempts.all()) {
            if (!attempt.isFinished()
                    && attempt.key().filter(withdrawn::contains).isPresent()) {
                requestHandler.cancel(attempt, ResultCode.KEY_REFUSED, "the key was withdrawn");
                cancelled++;
            }
        }
        EventLog.write(
                EventCode.STREAMS_CANCELLED,
                "{} streams with withdrawn keys at revision {}",
                cancelled,
                after.revision());
    }

    /** Stops accepting work and tells all peers; attempts already accepted run to their end. */
    public void drain() {
        isDraining = true;
        Frame leaving = Frame.newBuilder()
                .setLeaving(Leaving.newBuilder()
                        .setInstance(dependencies.instance().value())
                        .setIncarnation(dependencies.incarnation()))
                .build();
        dependencies.links().peers().forEach(peer -> peer.send(leaving));
        reporter.report(status());
        EventLog.write(EventCode.DRAINING, "companion {} of {}", dependencies.instance(), dependencies.target());
    }

    /**
     * Gets the number of attempts that wait, run, or whose output is not yet delivered to its entry.
     *
     * @return the number, 0 when the drain is complete
     */
    public int unfinished() {
        return (int) attempts.all().stream().filter(requestHandler::blocksDrain).count();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        takeover.close();
        attempts.all().forEach(requestHandler::abort);
    }
}
