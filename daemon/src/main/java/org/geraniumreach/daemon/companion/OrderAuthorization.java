package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.ports.ModelEngine.Order;

/**
 * Whether this companion may give its target orders.
 *
 * <p>Targets that check fences refuse orders of a former companion by themselves. For others, a companion that was frozen
 * may go on after its successor has begun. It is seen by the gap between two ticks: after one longer than the order limit no
 * order is given until the fence was read again. As a successor waits for the order limit before its first order, an order
 * decided before the freeze and one of the successor are never both carried out.
 *
 * <p>Invariant: after {@link #onFencedOut} no order is given any more. Safe for use by several threads, under its own lock;
 * times are nanoseconds of one monotonic clock.
 */
final class OrderAuthorization {

    private final boolean targetChecksFence;
    private final Duration orderLimit;
    private long fence;
    private boolean isFencedOut;
    private boolean mustConfirmFence = true;
    private long lastTickAt;

    OrderAuthorization(boolean targetChecks, Duration limit) {
        this.targetChecksFence = targetChecks;
        this.orderLimit = limit;
    }

    /**
     * Notes that this companion has taken its fence.
     *
     * @param taken the fence
     * @param now the time
     */
    synchronized void onFenceAcquired(long taken, long now) {
        fence = taken;
        lastTickAt = now;
        mustConfirmFence = false;
    }

    /**
     * Notes that time has passed.
     *
     * @param now the time
     */
    synchronized void tick(long now) {
        detectGap(now);
        lastTickAt = now;
    }

    private void detectGap(long now) {
        if (now - lastTickAt > orderLimit.toNanos()) {
            mustConfirmFence = true;
        }
    }

    /**
     * Notes that the fence was read and is still this companion's.
     *
     * @param askedAt when the reading began
     * @param now the time
     */
    synchronized void onFenceConfirmed(long askedAt, long now) {
        detectGap(now);
        lastTickAt = now;
        if (now - askedAt <= orderLimit.toNanos()) {
            mustConfirmFence = false;
        }
    }

    /** Notes that a newer companion has taken the target over. */
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
     * Permits an order that is given at once.
     *
     * @param now the time
     * @return its standing, or empty if no order may be given
     */
    synchronized Optional<Order> authorize(long now) {
        detectGap(now);
        if (fence == 0 || isFencedOut || mustConfirmFence && !targetChecksFence) {
            return Optional.empty();
        }
        return Optional.of(new Order(fence, orderLimit));
    }
}
