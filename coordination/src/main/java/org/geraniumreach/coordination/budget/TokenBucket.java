package org.geraniumreach.coordination.budget;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A token bucket that accepts refunds of unused reserved tokens.
 *
 * <p>Invariant: the level and all refundable amounts together never exceed the capacity. Therefore the reservations of
 * any time window use at most the capacity at its start plus the inflow since; a refund within the window of a
 * reservation made before it is already counted in that capacity. Capping each refund at the capacity would not be
 * enough: a bucket that has refilled, is emptied by a second request and then receives the refund of the first would
 * admit two bursts at once.
 *
 * <p>Amounts are in parts of a token, see {@link ShareParts#WHOLE}. Not safe for use by several threads.
 */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PARTS_PER_MILLION = 1e6;

    private final double clockFactor;
    private final Set<Grant> refundable = new LinkedHashSet<>();
    private long level;
    private long refundableSum;
    private long capacity;
    private long partsPerSecond;
    private long updatedAt;

    /**
     * Creates an empty bucket with capacity 0.
     *
     * @param clockDriftPartsPerMillion the maximum drift of the clock; the inflow is reduced by it, since a fast clock
     *     would otherwise admit more than the rate
     * @param now the current time in nanoseconds
     */
    TokenBucket(int clockDriftPartsPerMillion, long now) {
        this.clockFactor = 1 - clockDriftPartsPerMillion / PARTS_PER_MILLION;
        this.updatedAt = now;
    }

    /** Adds the inflow since the last call. */
    void advance(long now) {
        if (now <= updatedAt) {
            return;
        }
        double inflow = Math.floor(partsPerSecond * ((now - updatedAt) / NANOS_PER_SECOND) * clockFactor);
        updatedAt = now;
        level += (long) Math.min(capacity - level, inflow);
        limitRefunds();
    }

    /** Sets the capacity and the inflow; tokens above the new capacity are lost. */
    void resize(long newCapacity, long newPartsPerSecond) {
        capacity = newCapacity;
        partsPerSecond = newPartsPerSecond;
        level = Math.min(level, capacity);
        limitRefunds();
    }

    /** Reduces the refundable amounts, oldest reservation first, until they and the level fit into the capacity. */
    private void limitRefunds() {
        Iterator<Grant> oldestFirst = refundable.iterator();
        while (level + refundableSum > capacity && oldestFirst.hasNext()) {
            Grant oldest = oldestFirst.next();
            long reduction = Math.min(oldest.refundable, level + refundableSum - capacity);
            oldest.refundable -= reduction;
            refundableSum -= reduction;
            if (oldest.refundable == 0) {
                oldestFirst.remove();
            }
        }
    }

    long level() {
        return level;
    }

    long capacity() {
        return capacity;
    }

    /** Gets the time in seconds in which the inflow adds up to an amount. */
    double secondsFor(long amount, long inflow) {
        return amount / (inflow * clockFactor);
    }

    Optional<Grant> reserve(long tokens) {
        long amount = tokens * ShareParts.WHOLE;
        if (amount > Math.max(level, 0)) {
            return Optional.empty();
        }
        Grant grant = new Grant(tokens);
        grant.refundable = amount;
        level -= amount;
        refundableSum += amount;
        if (amount > 0) {
            refundable.add(grant);
        }
        return Optional.of(grant);
    }

    void settle(Grant grant, long actualTokens) {
        if (grant.settled) {
            return;
        }
        grant.settled = true;
        long unused = (grant.tokens() - actualTokens) * ShareParts.WHOLE;
        if (refundable.remove(grant)) {
            refundableSum -= grant.refundable;
        }
        // Usage above the reservation is debited; unused tokens are refunded unless they are no longer refundable.
        level += Math.min(unused, grant.refundable);
        grant.refundable = 0;
    }

    /** Removes an amount that is lent. */
    void withdraw(long amount) {
        level -= amount;
    }

    /** Adds a borrowed amount; the capacity must have been raised for it before. */
    void deposit(long amount) {
        level = Math.min(capacity, level + amount);
        limitRefunds();
    }
}
