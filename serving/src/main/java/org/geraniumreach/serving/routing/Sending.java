package org.geraniumreach.serving.routing;

import java.util.Optional;

/**
 * A request that this entry has sent to a target, as far as its count there goes.
 *
 * <p>Invariant: the request is taken out of the count once, however often its end is told. Safe for use by several
 * threads, under its own lock.
 */
public final class Sending {

    private final Optional<TrackedTarget> target;
    private State state = State.SENT;

    private Sending(Optional<TrackedTarget> target) {
        this.target = target;
    }

    private enum State {
        SENT,
        ACCEPTED,
        ENDED
    }

    static Sending to(TrackedTarget target) {
        target.onSent();
        return new Sending(Optional.of(target));
    }

    static Sending untracked() {
        return new Sending(Optional.empty());
    }

    /** Tells that the companion has queued the request: its next report holds it. */
    public synchronized void accepted() {
        if (state != State.SENT) {
            return;
        }
        state = State.ACCEPTED;
        target.ifPresent(TrackedTarget::onAccepted);
    }

    /** Tells that the request has ended in whatever way. */
    public synchronized void ended() {
        if (state == State.SENT) {
            target.ifPresent(TrackedTarget::onEndedUnaccepted);
        }
        if (state == State.ACCEPTED) {
            target.ifPresent(TrackedTarget::onEndedAccepted);
        }
        state = State.ENDED;
    }
}
