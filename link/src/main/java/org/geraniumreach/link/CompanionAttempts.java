package org.geraniumreach.link;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.geraniumreach.link.Attempts.SealListener;
import org.geraniumreach.link.Attempts.SealOutcome;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Run;
import org.geraniumreach.messages.Sealed;
import org.geraniumreach.model.MonotonicClock;

/**
 * The attempts and seal requests in progress at one companion.
 *
 * <p>Invariant: an attempt is registered before its first frame is sent and removed when it has ended. Safe for use by
 * several threads.
 */
final class CompanionAttempts {

    private static final long UNKNOWN_AGE_MILLIS = -1;

    private final AttemptTracker.Limits limits;
    private final MonotonicClock clock;
    private final LinkEventListener events;
    private final Map<String, SentAttempt> attempts = new ConcurrentHashMap<>();
    private final Map<String, PendingSeal> seals = new ConcurrentHashMap<>();

    CompanionAttempts(AttemptTracker.Limits limits, MonotonicClock clock, LinkEventListener events) {
        this.limits = limits;
        this.clock = clock;
        this.events = events;
    }

    /**
     * A seal request that waits for its answer.
     *
     * @param tracker the state of the request, guarded by its own monitor
     * @param listener receives the answer
     */
    private record PendingSeal(SealTracker tracker, SealListener listener) {}

    AttemptHandle run(Optional<Peer> link, Run run, AttemptListener listener) {
        long incarnation = link.map(peer -> peer.hello().getIncarnation()).orElse(0L);
        Run withIncarnation = run.getCompanionIncarnation() != 0 || link.isEmpty()
                ? run
                : run.toBuilder().setCompanionIncarnation(incarnation).build();
        AttemptTracker tracker = AttemptTracker.ofRun(withIncarnation, incarnation, limits, clock.nanos());
        return start(withIncarnation.getAttempt(), tracker, link, listener);
    }

    AttemptHandle resume(Optional<Peer> link, Run run, long incarnation, long nextSequence, AttemptListener listener) {
        AttemptTracker tracker = AttemptTracker.ofResume(run, incarnation, nextSequence, limits, clock.nanos());
        return start(run.getAttempt(), tracker, link, listener);
    }

    private AttemptHandle start(String attempt, AttemptTracker tracker, Optional<Peer> link, AttemptListener listener) {
        SentAttempt sent = new SentAttempt(tracker, listener, clock, events, () -> attempts.remove(attempt));
        if (attempts.putIfAbsent(attempt, sent) != null) {
            throw new IllegalArgumentException("attempt is already in progress: " + attempt);
        }
        sent.start(link);
        return sent;
    }

    void seal(Optional<Peer> link, String attempt, long incarnation, Duration age, SealListener listener) {
        long ageMillis = age.isNegative() ? UNKNOWN_AGE_MILLIS : age.toMillis();
        PendingSeal pending =
                new PendingSeal(new SealTracker(attempt, incarnation, ageMillis, limits, clock.nanos()), listener);
        if (seals.putIfAbsent(attempt, pending) != null) {
            throw new IllegalArgumentException("attempt is already being sealed: " + attempt);
        }
        link.ifPresent(peer -> sendSeal(attempt, pending, peer));
    }

    private void sendSeal(String attempt, PendingSeal pending, Peer peer) {
        Optional<Frame> frame;
        synchronized (pending.tracker()) {
            frame = pending.tracker().nextFrame(peer.hello().getIncarnation(), clock.nanos());
        }
        frame.ifPresentOrElse(peer::send, () -> complete(attempt, pending, SealOutcome.OTHER_INCARNATION));
    }

    private void complete(String attempt, PendingSeal pending, SealOutcome outcome) {
        if (seals.remove(attempt, pending)) {
            pending.listener().onSealed(outcome);
        }
    }

    void onLinkOpened(Peer peer) {
        attempts.values().forEach(attempt -> attempt.onLinkOpened(peer));
        seals.forEach((attempt, pending) -> sendSeal(attempt, pending, peer));
    }

    /**
     * Handles the loss of a link.
     *
     * @param peer the closed link, not null
     * @param other another open link to the same companion, or empty, not null
     */
    void onLinkClosed(Peer peer, Optional<Peer> other) {
        attempts.values().forEach(attempt -> attempt.onLinkClosed(peer, other));
    }

    void onFrame(Peer peer, Frame frame) {
        switch (frame.getBodyCase()) {
            case ACCEPTED -> find(frame.getAccepted().getAttempt()).ifPresent(SentAttempt::onAccepted);
            case CHUNK -> find(frame.getChunk().getAttempt()).ifPresent(attempt -> attempt.onChunk(frame.getChunk()));
            case END -> find(frame.getEnd().getAttempt()).ifPresent(attempt -> attempt.onEnded(frame.getEnd()));
            case REFUSED -> find(frame.getRefused().getAttempt())
                    .ifPresent(attempt -> attempt.onRefused(frame.getRefused()));
            case SEALED -> onSealed(peer, frame.getSealed());
            default -> throw new IllegalArgumentException("unexpected frame kind: " + frame.getBodyCase());
        }
    }

    private Optional<SentAttempt> find(String attempt) {
        return Optional.ofNullable(attempts.get(attempt));
    }

    private void onSealed(Peer peer, Sealed sealed) {
        PendingSeal pending = seals.get(sealed.getAttempt());
        if (pending == null) {
            return;
        }
        Optional<SealOutcome> outcome;
        synchronized (pending.tracker()) {
            outcome = pending.tracker().onSealed(sealed, clock.nanos());
        }
        outcome.ifPresentOrElse(
                result -> complete(sealed.getAttempt(), pending, result),
                () -> sendSeal(sealed.getAttempt(), pending, peer));
    }

    void tick() {
        attempts.values().forEach(SentAttempt::tick);
        long now = clock.nanos();
        seals.forEach((attempt, pending) -> {
            if (isOverdue(pending, now)) {
                complete(attempt, pending, SealOutcome.UNREACHABLE);
            }
        });
    }

    private static boolean isOverdue(PendingSeal pending, long now) {
        synchronized (pending.tracker()) {
            return pending.tracker().isOverdue(now);
        }
    }
}
