package org.geraniumreach.coordination.budget;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A bucket of tokens that takes back what reservations did not use.
 *
 * <p>Invariant: level and refundable amounts together never exceed the capacity. With it, the tokens used by the
 * reservations of any window are at most the capacity at its start and what has flowed in since: what comes back within the
 * window from reservations made before it was counted in that capacity. A refund that is merely cut off at the capacity is
 * not enough: a bucket that is full again, is emptied by a second request and then gets the first one's refund would admit
 * two bursts at once.
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
     * Makes an empty bucket without capacity.
     *
     * @param clockDriftPartsPerMillion the greatest drift of the clock; inflow is slowed by it, as a clock that is fast
     *     would admit more than the rate
     * @param now the time
     */
    TokenBucket(int clockDriftPartsPerMillion, long now) {
        this.clockFactor = 1 - clockDriftPartsPerMillion / PARTS_PER_MILLION;
        this.updatedAt = now;
    }

    /** Lets flow in what is due. */
    void advance(long now) {
        if (now <= updatedAt) {
            return;
        }
        double inflow = Math.floor(partsPerSecond * ((now - updatedAt) / NANOS_PER_SECOND) * clockFactor);
        updatedAt = now;
        level += (long) Math.min(capacity - level, inflow);
        limitRefunds();
    }

    /** Sets capacity and inflow; a level above the capacity is lost, one below it stays. */
    void resize(long newCapacity, long newPartsPerSecond) {
        capacity = newCapacity;
        partsPerSecond = newPartsPerSecond;
        level = Math.min(level, capacity);
        limitRefunds();
    }

    /** Cuts what the oldest reservations can give back until it fits beside the level. */
    private void limitRefunds() {
        Iterator<Grant> oldestFirst = refundable.iterator();
        while (level + refundableSum > capacity && oldestFirst.hasNext()) {
            Grant oldest = oldestFirst.next();
            long cut = Math.min(oldest.refundable, level + refundableSum - capacity);
            oldest.refundable -= cut;
            refundableSum -= cut;
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

    /** Gets how long the inflow takes to bring an amount. */
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
        // What was used beyond the reservation is owed; what was not comes back as far as it was not cut meanwhile.
        level += Math.min(unused, grant.refundable);
        grant.refundable = 0;
    }

    /** Takes out an amount that is lent. */
    void withdraw(long amount) {
        level -= amount;
    }

    /** Puts in an amount that is borrowed, after the capacity was raised for it. */
    void deposit(long amount) {
        level = Math.min(capacity, level + amount);
        limitRefunds();
    }
}
