package org.geraniumreach.link;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Run;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;

/**
 * Sends attempts over {@link Links} and dispatches the answers to them.
 *
 * <p>Invariant: a frame is passed only to the attempt that it names, and only if it comes from the companion that the
 * attempt was sent to; other frames are dropped. State is kept by companion, and each attempt has its own lock. Safe
 * for use by several threads.
 */
public final class LinkAttempts implements Attempts, AutoCloseable {

    private static final Set<Frame.BodyCase> ANSWER_KINDS = EnumSet.of(
            Frame.BodyCase.ACCEPTED,
            Frame.BodyCase.CHUNK,
            Frame.BodyCase.END,
            Frame.BodyCase.REFUSED,
            Frame.BodyCase.SEALED);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

    private final Links links;
    private final AttemptTracker.Limits limits;
    private final MonotonicClock clock;
    private final LinkEventListener events;
    private final Map<InstanceId, CompanionAttempts> companions = new ConcurrentHashMap<>();
    private final Future<?> tickTask;

    private LinkAttempts(
            Links links,
            LinkSettings settings,
            MonotonicClock clock,
            ScheduledExecutorService timer,
            LinkEventListener events) {
        this.links = links;
        this.events = events;
        this.limits =
                new AttemptTracker.Limits(settings.resumeLimit(), settings.answerLimit(), settings.deadlineGrace());
        this.clock = clock;
        links.registerHandler(ANSWER_KINDS, new Handler());
        this.tickTask = timer.scheduleWithFixedDelay(
                this::tick, TICK_INTERVAL.toNanos(), TICK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Creates an instance and starts its timer.
     *
     * @param links the links; the caller keeps one open to each companion used, not null
     * @param settings the time limits, not null
     * @param clock the clock, not null
     * @param timer executes short tasks that check time limits, not null
     * @param events receives events for operators, not null
     * @return the attempts, not null
     */
    public static LinkAttempts start(
            Links links,
            LinkSettings settings,
            MonotonicClock clock,
            ScheduledExecutorService timer,
            LinkEventListener events) {
        return new LinkAttempts(
                Objects.requireNonNull(links, "links"),
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(clock, "clock"),
                Objects.requireNonNull(timer, "timer"),
                Objects.requireNonNull(events, "events"));
    }

    private CompanionAttempts attemptsAt(InstanceId companion) {
        return companions.computeIfAbsent(companion, id -> new CompanionAttempts(limits, clock, events));
    }

    @Override
    public AttemptHandle run(InstanceId companion, Run run, AttemptListener listener) {
        return attemptsAt(companion).run(links.find(companion), run, listener);
    }

    @Override
    public AttemptHandle resume(
            InstanceId companion,
            String attempt,
            long companionIncarnation,
            long nextSequence,
            AttemptListener listener) {
        Run run = Run.newBuilder().setAttempt(attempt).build();
        return attemptsAt(companion).resume(links.find(companion), run, companionIncarnation, nextSequence, listener);
    }

    @Override
    public void seal(
            InstanceId companion, String attempt, long companionIncarnation, Duration age, SealListener listener) {
        attemptsAt(companion).seal(links.find(companion), attempt, companionIncarnation, age, listener);
    }

    private void tick() {
        try {
            companions.values().forEach(CompanionAttempts::tick);
        } catch (RuntimeException failure) {
            // A periodic task that throws is not run again, and attempts without a link would then never end.
            events.onEvent(EventCode.UNEXPECTED_FAILURE, "checking the time limits of attempts failed: " + failure);
        }
    }

    /** Passes frames and link events to the attempts at the companion concerned. */
    private final class Handler implements FrameHandler {

        private InstanceId instanceOf(Peer peer) {
            return InstanceId.of(peer.hello().getInstance());
        }

        private Optional<CompanionAttempts> attemptsAt(Peer peer) {
            return Optional.ofNullable(companions.get(instanceOf(peer)));
        }

        @Override
        public void onOpened(Peer peer) {
            attemptsAt(peer).ifPresent(attempts -> attempts.onLinkOpened(peer));
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            attemptsAt(peer).ifPresent(attempts -> attempts.onFrame(peer, frame));
        }

        @Override
        public void onClosed(Peer peer, String reason) {
            attemptsAt(peer).ifPresent(attempts -> attempts.onLinkClosed(peer, links.find(instanceOf(peer))));
        }
    }

    @Override
    public void close() {
        tickTask.cancel(false);
    }
}
