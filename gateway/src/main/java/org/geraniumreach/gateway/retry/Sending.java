package org.geraniumreach.gateway.retry;

import java.util.Objects;

import org.geraniumreach.gateway.placement.Target;

/**
 * One sending of a request to a target, which may arrive at any time until its outcome is known.
 *
 * <p>Invariant: the first outcome that is reported counts, except that an abandoned sending may still turn out to have arrived. Confined to the
 * event loop.
 */
public final class Sending {

    private final RequestArrivals request;
    private final AbandonedSendings abandonedSendings;
    private final Target target;
    private final long sentAt;
    private State state = State.SENT;

    private enum State {
        SENT,
        ABANDONED,
        RESOLVED
    }

    Sending(RequestArrivals request, AbandonedSendings abandonedSendings, Target target) {
        this.request = request;
        this.abandonedSendings = abandonedSendings;
        this.target = Objects.requireNonNull(target, "target");
        this.sentAt = abandonedSendings.now();
    }

    /** Called when the target has answered or its connection has broken, so that nothing arrives any more. */
    public void onArrived() {
        resolve(true);
    }

    /** Called if the request cannot have reached the target. */
    public void onNotSent() {
        resolve(false);
    }

    /** Called when this entry does not wait for an answer any more, although the request may still arrive. */
    public void onAbandoned() {
        if (state != State.SENT) {
            return;
        }
        state = State.ABANDONED;
        abandonedSendings.add(this);
    }

    private void resolve(boolean mayHaveArrived) {
        if (state == State.RESOLVED) {
            return;
        }
        state = State.RESOLVED;
        request.onResolved(mayHaveArrived);
    }

    /** Queries whether this entry still waits for the outcome. */
    boolean isUnderWay() {
        return state == State.SENT;
    }

    Target target() {
        return target;
    }

    long sentAt() {
        return sentAt;
    }
}
