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
 * <p>Invariant: after {@link #fencedOut} no order is given any more. Safe for use by several threads, under its own lock;
 * times are nanoseconds of one monotonic clock.
 */
final class OrderPermit {

    private final boolean targetChecks;
    private final Duration limit;
    private long fence;
    private boolean out;
    private boolean mustConfirm = true;
    private long lastTick;

    OrderPermit(boolean targetChecks, Duration limit) {
        this.targetChecks = targetChecks;
        this.limit = limit;
    }

    /**
     * Notes that this companion has taken its fence.
     *
     * @param taken the fence
     * @param now the time
     */
    synchronized void taken(long taken, long now) {
        fence = taken;
        lastTick = now;
        mustConfirm = false;
    }

    /**
     * Notes that time has passed.
     *
     * @param now the time
     */
    synchronized void tick(long now) {
        noticeGap(now);
        lastTick = now;
    }

    private void noticeGap(long now) {
        if (now - lastTick > limit.toNanos()) {
            mustConfirm = true;
        }
    }

    /**
     * Notes that the fence was read and is still this companion's.
     *
     * @param askedAt when the reading began
     * @param now the time
     */
    synchronized void confirmed(long askedAt, long now) {
        noticeGap(now);
        lastTick = now;
        if (now - askedAt <= limit.toNanos()) {
            mustConfirm = false;
        }
    }

    /** Notes that a newer companion has taken the target over. */
    synchronized void fencedOut() {
        out = true;
    }

    synchronized boolean isOut() {
        return out;
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
    synchronized Optional<Order> order(long now) {
        noticeGap(now);
        if (fence == 0 || out || mustConfirm && !targetChecks) {
            return Optional.empty();
        }
        return Optional.of(new Order(fence, limit));
    }
}
