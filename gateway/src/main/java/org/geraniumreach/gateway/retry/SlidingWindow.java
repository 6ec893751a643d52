package org.geraniumreach.gateway.retry;

import java.time.Duration;
import java.util.Arrays;

/**
 * Counts the requests and retries of a sliding window, and keeps the smallest share of the fixed retries within it.
 *
 * <p>Invariants: requests are counted for at most the window from their earliest arrival, retries for at least the window and another hundredth
 * of it, since requests take different times to arrive. The memory does not depend on the load. Confined to the event loop.
 */
final class SlidingWindow {

    private static final int SLOTS_PER_WINDOW = 100;

    /** The current slot has only begun, and one more covers different times of arrival. */
    private static final int RETRY_SLOTS = SLOTS_PER_WINDOW + 2;

    private static final int NO_SHARE = Integer.MAX_VALUE;

    private final long slotNanos;
    private final long startedAt;
    private final int[] requests = new int[RETRY_SLOTS];
    private final int[] retries = new int[RETRY_SLOTS];
    private final int[] smallestShares = new int[RETRY_SLOTS];
    private long currentSlot;
    private int lastShare = NO_SHARE;

    SlidingWindow(Duration length, long now) {
        this.slotNanos = Math.max(1, length.toNanos() / SLOTS_PER_WINDOW);
        this.startedAt = now;
        Arrays.fill(smallestShares, NO_SHARE);
    }

    private int advance(long now) {
        long slot = slot(now);
        long firstNew = Math.max(currentSlot + 1, slot - RETRY_SLOTS + 1);
        for (long reused = firstNew; reused <= slot; reused++) {
            int index = index(reused);
            requests[index] = 0;
            retries[index] = 0;
            smallestShares[index] = NO_SHARE;
        }
        currentSlot = Math.max(currentSlot, slot);
        return index(currentSlot);
    }

    private long slot(long time) {
        return Math.floorDiv(time - startedAt, slotNanos);
    }

    /** Gets the first slot whose requests count. */
    private long firstCountedSlot() {
        return Math.max(0, currentSlot - SLOTS_PER_WINDOW + 1);
    }

    private static int index(long slot) {
        return (int) (slot % RETRY_SLOTS);
    }

    /** Adds a request that may have arrived before now; one that may have done so before the window began does not count. */
    void addRequest(long arrivedAt, long now) {
        advance(now);
        long slot = slot(arrivedAt);
        if (slot >= firstCountedSlot()) {
            requests[index(slot)]++;
        }
    }

    void addRetries(int count, long now) {
        retries[advance(now)] += count;
    }

    /** Adds a share, and the last one before it, which may have applied until now if no share was added for a while. */
    void addShare(int share, long now) {
        int index = advance(now);
        smallestShares[index] = Math.min(smallestShares[index], Math.min(share, lastShare));
        lastShare = share;
    }

    /** Queries whether a share was added in the current slot. */
    boolean hasCurrentShare(long now) {
        return smallestShares[advance(now)] != NO_SHARE;
    }

    int requests(long now) {
        advance(now);
        int sum = 0;
        for (long slot = firstCountedSlot(); slot <= currentSlot; slot++) {
            sum += requests[index(slot)];
        }
        return sum;
    }

    int retries(long now) {
        advance(now);
        return Arrays.stream(retries).sum();
    }

    /** Gets the smallest share added within the window, 0 if there is none. */
    int smallestShare(long now) {
        advance(now);
        int smallest = Arrays.stream(smallestShares).min().orElse(NO_SHARE);
        return smallest == NO_SHARE ? 0 : smallest;
    }
}
