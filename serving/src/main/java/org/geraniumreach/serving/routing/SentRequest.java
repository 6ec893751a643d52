package org.geraniumreach.serving.routing;

import java.util.Optional;

/**
 * The handle of a request that this entry sent to a target, which keeps the request counted in the target's load.
 *
 * <p>Invariant: the request is removed from the count only once, even if its end is reported repeatedly. Safe for use
 * by several threads, under its own lock.
 */
public final class SentRequest {

    private final Optional<TrackedTarget> target;
    private State state = State.SENT;

    private SentRequest(Optional<TrackedTarget> target) {
        this.target = target;
    }

    private enum State {
        SENT,
        ACCEPTED,
        ENDED
    }

    static SentRequest to(TrackedTarget target) {
        target.onSent();
        return new SentRequest(Optional.of(target));
    }

    static SentRequest untracked() {
        return new SentRequest(Optional.empty());
    }

    /** Called when the companion has queued the request, so that its next status report includes it. */
    public synchronized void onAccepted() {
        if (state != State.SENT) {
            return;
        }
        state = State.ACCEPTED;
        target.ifPresent(TrackedTarget::onAccepted);
    }

    /** Called when the request has ended, whether it succeeded or not. */
    public synchronized void onEnded() {
        if (state == State.SENT) {
            target.ifPresent(TrackedTarget::onEndedUnaccepted);
        }
        if (state == State.ACCEPTED) {
            target.ifPresent(TrackedTarget::onEndedAccepted);
        }
        state = State.ENDED;
    }
}
