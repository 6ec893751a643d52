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
 * A companion: it answers entries over links and is the only one to speak to its target.
 *
 * <p>Invariants: no work is taken before the fence is held and the target's state is known, nor after {@link #drain}; an
 * attempt starts at most once; its output is kept until its entry has acknowledged it, or has been gone for too long. Safe
 * for use by several threads.
 */
public final class CompanionNode implements AutoCloseable {

    private static final Set<Frame.BodyCase> KINDS = EnumSet.of(
            Frame.BodyCase.RUN,
            Frame.BodyCase.CANCEL,
            Frame.BodyCase.RESUME,
            Frame.BodyCase.ACKNOWLEDGE,
            Frame.BodyCase.SEAL);
    private static final String ENTRY_ROLE = "entry";
    private static final Duration STARTING = Duration.ofMillis(500);
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration REPORT_GAP = Duration.ofMillis(100);

    private final CompanionSettings settings;
    private final CompanionParts parts;
    private final AttemptShards attempts;
    private final Outcomes outcomes;
    private final Requests requests;
    private final StatusReporter reporter = new StatusReporter();
    private final ScheduledThreadPoolExecutor timer = newTimer();
    private final TargetStart targetStart;
    private final AtomicBoolean reportDue = new AtomicBoolean();
    private volatile boolean draining;
    private volatile long lastReport;

    private CompanionNode(CompanionSettings settings, CompanionParts parts) {
        this.settings = settings;
        this.parts = parts;
        this.attempts = new AttemptShards(settings, parts.clock());
        StartCheck startCheck = new StartCheck(parts);
        this.outcomes = new Outcomes(attempts, startCheck);
        this.targetStart = new TargetStart(settings, parts, outcomes, timer, this::changed);
        this.requests = new Requests(settings, parts, attempts, outcomes, startCheck, new Runners());
    }

    /**
     * Makes a companion and registers it for frames, so that it answers as soon as links open.
     *
     * @param settings the settings, not null
     * @param parts what it works with, not null
     * @return the companion, which takes no work before {@link #start}, not null
     */
    public static CompanionNode create(CompanionSettings settings, CompanionParts parts) {
        CompanionNode node = new CompanionNode(settings, parts);
        parts.links().handle(KINDS, node.new Handler());
        parts.configuration().listen(node::configurationChanged);
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

    /** Begins to take the target over; work is taken once that is done. */
    public void start() {
        targetStart.start();
        timer.scheduleWithFixedDelay(this::tick, TICK.toNanos(), TICK.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Gets why no work is taken.
     *
     * @return the reason, or empty if work is taken
     */
    public Optional<String> reasonNotReady() {
        if (draining) {
            return Optional.of("the companion is leaving");
        }
        return targetStart.reasonNotReady();
    }

    /**
     * Gets the fence, for the Hello.
     *
     * @return the number, 0 before it is taken
     */
    public long fence() {
        return targetStart.fence();
    }

    /** Gives the runner of the target, as long as it may be given. */
    private final class Runners implements Requests.RunnerSource {

        @Override
        public TargetRunner forNewWork() throws ServingException {
            if (draining) {
                throw ServingException.notRun(ResultCode.DRAINING, "companion " + parts.instance() + " is leaving");
            }
            if (targetStart.isFencedOut()) {
                throw ServingException.notRun(ResultCode.FENCED, "a newer companion has taken over " + parts.target());
            }
            return targetStart.runner().orElseThrow(() -> ServingException.notRun(
                            ResultCode.NO_TARGET, "the companion is starting")
                    .withRetryAfter(STARTING));
        }

        @Override
        public Optional<TargetRunner> current() {
            return targetStart.runner();
        }
    }

    /** Takes links' news to where they belong. */
    private final class Handler implements FrameHandler {

        @Override
        public void opened(Peer peer) {
            if (peer.hello().getRole().equals(ENTRY_ROLE)) {
                reporter.opened(peer, status());
            }
        }

        @Override
        public void received(Peer peer, Frame frame) {
            requests.received(peer, frame);
        }

        @Override
        public void writable(Peer peer) {
            attempts.all().forEach(attempt -> attempt.writable(peer));
        }

        @Override
        public void closed(Peer peer, String reason) {
            reporter.closed(peer);
            long now = parts.clock().nanos();
            attempts.all().forEach(attempt -> attempt.linkClosed(peer, now));
        }
    }

    private Status status() {
        Status.Builder status = Status.newBuilder()
                .setTarget(parts.target().value())
                .setDraining(reasonNotReady().isPresent())
                .setFence(fence());
        parts.configuration()
                .current()
                .target(parts.target())
                .map(Target::slots)
                .ifPresent(status::setSlots);
        targetStart.runner().ifPresent(running -> running.describe(status));
        return status.build();
    }

    private void changed() {
        if (reportDue.compareAndSet(false, true)) {
            timer.schedule(this::report, REPORT_GAP.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void report() {
        reportDue.set(false);
        lastReport = parts.clock().nanos();
        reporter.report(status());
    }

    private void tick() {
        try {
            requests.tick();
            targetStart.tick();
            if (parts.clock().nanos() - lastReport > settings.statusInterval().toNanos()) {
                changed();
            }
        } catch (RuntimeException failure) {
            // A task that throws is never run again: deadlines and orphans would then be waited for in vain.
            EventLog.write(EventCode.UNEXPECTED_FAILURE, failure, "the companion's timer");
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
                requests.cancel(attempt, ResultCode.KEY_REFUSED, "the key was withdrawn");
                cancelled++;
            }
        }
        EventLog.write(EventCode.STREAMS_CANCELLED, "{} at revision {}", cancelled, after.revision());
    }

    /** Takes no new work from now on and tells all peers; what was taken runs to its end. */
    public void drain() {
        draining = true;
        Frame leaving = Frame.newBuilder()
                .setLeaving(Leaving.newBuilder()
                        .setInstance(parts.instance().value())
                        .setIncarnation(parts.incarnation()))
                .build();
        parts.links().peers().forEach(peer -> peer.send(leaving));
        reporter.report(status());
        EventLog.write(EventCode.DRAINING, "companion {} of {}", parts.instance(), parts.target());
    }

    /**
     * Gets the number of attempts that wait, run, or whose output is not yet with its entry.
     *
     * @return the number, 0 when the drain is done
     */
    public int unfinished() {
        return (int) attempts.all().stream().filter(requests::holdsUpDrain).count();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        targetStart.close();
        attempts.all().forEach(requests::cutOff);
    }
}
