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
 * The attempts and seals under way at one companion.
 *
 * <p>Invariant: an attempt is here from before its first frame is sent until its end is told. Safe for use by several
 * threads.
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
     * A seal that waits for its answer.
     *
     * @param tracker decides; used under its own monitor
     * @param listener told of the answer
     */
    private record PendingSeal(SealTracker tracker, SealListener listener) {}

    AttemptHandle run(Optional<Peer> link, Run run, AttemptListener listener) {
        long incarnation = link.map(peer -> peer.hello().getIncarnation()).orElse(0L);
        Run named = run.getCompanionIncarnation() != 0 || link.isEmpty()
                ? run
                : run.toBuilder().setCompanionIncarnation(incarnation).build();
        AttemptTracker tracker = AttemptTracker.ofRun(named, incarnation, limits, clock.nanos());
        return start(named.getAttempt(), tracker, link, listener);
    }

    AttemptHandle resume(
            Optional<Peer> link, Run named, long incarnation, long nextSequence, AttemptListener listener) {
        AttemptTracker tracker = AttemptTracker.ofResume(named, incarnation, nextSequence, limits, clock.nanos());
        return start(named.getAttempt(), tracker, link, listener);
    }

    private AttemptHandle start(String attempt, AttemptTracker tracker, Optional<Peer> link, AttemptListener listener) {
        SentAttempt sent = new SentAttempt(tracker, listener, clock, events, () -> attempts.remove(attempt));
        if (attempts.putIfAbsent(attempt, sent) != null) {
            throw new IllegalArgumentException("attempt is under way: " + attempt);
        }
        sent.start(link);
        return sent;
    }

    void seal(Optional<Peer> link, String attempt, long incarnation, Duration age, SealListener listener) {
        long ageMillis = age.isNegative() ? UNKNOWN_AGE_MILLIS : age.toMillis();
        PendingSeal pending =
                new PendingSeal(new SealTracker(attempt, incarnation, ageMillis, limits, clock.nanos()), listener);
        if (seals.putIfAbsent(attempt, pending) != null) {
            throw new IllegalArgumentException("attempt is being sealed: " + attempt);
        }
        link.ifPresent(peer -> sendSeal(attempt, pending, peer));
    }

    private void sendSeal(String attempt, PendingSeal pending, Peer peer) {
        Optional<Frame> question;
        synchronized (pending.tracker()) {
            question = pending.tracker().nextFrame(peer.hello().getIncarnation(), clock.nanos());
        }
        question.ifPresentOrElse(peer::send, () -> complete(attempt, pending, SealOutcome.OTHER_INCARNATION));
    }

    private void complete(String attempt, PendingSeal pending, SealOutcome outcome) {
        if (seals.remove(attempt, pending)) {
            pending.listener().sealed(outcome);
        }
    }

    void onLinkOpened(Peer peer) {
        attempts.values().forEach(attempt -> attempt.onLinkOpened(peer));
        seals.forEach((attempt, pending) -> sendSeal(attempt, pending, peer));
    }

    /**
     * Notes that a link is closed.
     *
     * @param peer the link, not null
     * @param other another open link to the same companion, not null
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
            default -> throw new IllegalArgumentException("not an answer: " + frame.getBodyCase());
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
                known -> complete(sealed.getAttempt(), pending, known),
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
