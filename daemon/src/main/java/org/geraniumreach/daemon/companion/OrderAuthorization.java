package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.ports.ModelEngine.CommandFence;

/**
 * Decides whether this companion may send orders to its target.
 *
 * <p>Targets that check fencing tokens refuse orders of a previous companion themselves. Other targets do not: a
 * companion that was frozen could continue after its successor has started. The freeze is detected by the gap between
 * two ticks. After a gap longer than the order limit no order is authorized until the fencing token was read again; work
 * waits until the first read since the gap has ended. As a successor waits for the order limit before its first order,
 * an order authorized before the freeze and one of the successor are never both carried out.
 *
 * <p>Invariant: after {@link #onFencedOut} no order is authorized. Safe for use by several threads, under its own lock;
 * times are nanoseconds of one monotonic clock.
 */
final class OrderAuthorization {

    private final boolean targetChecksFence;
    private final Duration orderLimit;
    private long fence;
    private boolean isFencedOut;
    private boolean mustConfirmFence = true;
    private boolean hasConfirmationFailed;
    private long unconfirmedSince;
    private long lastTickAt;

    OrderAuthorization(boolean targetChecksFence, Duration orderLimit) {
        this.targetChecksFence = targetChecksFence;
        this.orderLimit = orderLimit;
    }

    /** Whether orders may be sent. */
    enum State {
        /** Orders may be sent. */
        AUTHORIZED,
        /** The fencing token is being read after a gap; work waits. */
        UNCONFIRMED,
        /** No order may be sent; work is refused. */
        REFUSED
    }

    /**
     * Records that this companion has acquired its fencing token.
     *
     * @param acquired the token
     * @param now the current time
     */
    synchronized void onFenceAcquired(long acquired, long now) {
        fence = acquired;
        lastTickAt = now;
        mustConfirmFence = false;
    }

    /**
     * Records that this companion is running; called periodically.
     *
     * @param now the current time
     */
    synchronized void tick(long now) {
        detectGap(now);
        lastTickAt = now;
    }

    private void detectGap(long now) {
        if (now - lastTickAt > orderLimit.toNanos()) {
            mustConfirmFence = true;
            hasConfirmationFailed = false;
            unconfirmedSince = now;
        }
    }

    /**
     * Records that the fencing token was read and is still this companion's.
     *
     * @param askedAt when the read was started
     * @param now the current time
     */
    synchronized void onFenceConfirmed(long askedAt, long now) {
        detectGap(now);
        lastTickAt = now;
        if (now - askedAt <= orderLimit.toNanos()) {
            mustConfirmFence = false;
        }
    }

    /**
     * Records that the fencing token could not be read.
     *
     * @param askedAt when the read was started
     */
    synchronized void onConfirmationFailed(long askedAt) {
        hasConfirmationFailed |= askedAt - unconfirmedSince >= 0;
    }

    /** Records that a newer companion has taken the target over. */
    synchronized void onFencedOut() {
        isFencedOut = true;
    }

    synchronized boolean isFencedOut() {
        return isFencedOut;
    }

    synchronized long fence() {
        return fence;
    }

    /**
     * Authorizes an order that is sent immediately.
     *
     * @param now the current time
     * @return the token and validity to send with the order, or empty if no order may be sent
     */
    synchronized Optional<CommandFence> authorize(long now) {
        return state(now) == State.AUTHORIZED ? Optional.of(new CommandFence(fence, orderLimit)) : Optional.empty();
    }

    /**
     * Queries whether orders may be sent.
     *
     * @param now the current time
     * @return the state, not null
     */
    synchronized State state(long now) {
        detectGap(now);
        if (fence == 0 || isFencedOut) {
            return State.REFUSED;
        }
        if (targetChecksFence || !mustConfirmFence) {
            return State.AUTHORIZED;
        }
        return hasConfirmationFailed ? State.REFUSED : State.UNCONFIRMED;
    }
}
