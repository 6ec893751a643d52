package org.geraniumreach.serving.prefix;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * A directory whose beliefs fade with time and are corrected by what each request found.
 *
 * <p>Invariants: at most {@code capacity} beliefs, the longest unused go first; the confidence halves with each half-life
 * and with each time that the target did not have the prefix although it was expected there; a belief from before a target
 * was forgotten is not answered. So a wrong belief costs one detour and then counts less. Safe for use by several threads:
 * prefixes are spread over shards, each under its own lock.
 */
public final class DecayingPrefixDirectory implements PrefixDirectory {

    private static final int SHARDS = 16;
    private static final float LOAD_FACTOR = 0.75f;
    private static final double MINIMUM_CONFIDENCE = 0.1;
    private static final double INITIAL_CONFIDENCE = 0.8;
    private static final double CONFIDENCE_FACTOR_AFTER_MISS = 0.5;

    private final MonotonicClock clock;
    private final double halfLifeNanos;
    private final Shard[] shards = new Shard[SHARDS];
    private final Map<TargetId, Long> invalidatedNanos = new ConcurrentHashMap<>();

    private DecayingPrefixDirectory(MonotonicClock clock, Duration halfLife, int capacity) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.halfLifeNanos = halfLife.toNanos();
        for (int index = 0; index < SHARDS; index++) {
            shards[index] = new Shard(Math.max(1, capacity / SHARDS));
        }
    }

    /**
     * Makes a directory.
     *
     * @param clock the clock, not null
     * @param halfLife the time in which a belief loses half its weight, positive
     * @param capacity the most beliefs kept, at least 1
     * @return the directory, not null
     */
    public static DecayingPrefixDirectory create(MonotonicClock clock, Duration halfLife, int capacity) {
        if (halfLife.isNegative() || halfLife.isZero()) {
            throw new IllegalArgumentException("half-life is not positive: " + halfLife);
        }
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity below 1: " + capacity);
        }
        return new DecayingPrefixDirectory(clock, halfLife, capacity);
    }

    private record Entry(TargetId target, double confidence, long updatedNanos) {}

    private static final class Shard extends LinkedHashMap<PrefixDigest, Entry> {
        private static final long serialVersionUID = 1L;
        private static final int INITIAL_CAPACITY = 16;
        private final int capacity;

        private Shard(int capacity) {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
            this.capacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<PrefixDigest, Entry> eldest) {
            return size() > capacity;
        }
    }

    @Override
    public Optional<PrefixLocation> find(PrefixDigest prefix) {
        Shard shard = shardOf(prefix);
        Entry entry;
        synchronized (shard) {
            entry = shard.get(prefix);
        }
        if (entry == null || isInvalidated(entry)) {
            return Optional.empty();
        }
        double confidence = decayedConfidence(entry);
        if (confidence < MINIMUM_CONFIDENCE) {
            return Optional.empty();
        }
        return Optional.of(new PrefixLocation(entry.target, confidence));
    }

    @Override
    public void ended(PrefixDigest prefix, TargetId target, boolean hit) {
        Shard shard = shardOf(prefix);
        synchronized (shard) {
            Entry known = shard.get(prefix);
            shard.put(prefix, new Entry(target, confidenceAfter(known, target, hit), clock.nanos()));
        }
    }

    /*
     * A target that evicts prefixes soon would draw every turn of a conversation to itself and find nothing each time. Its
     * misses lower the confidence with which the next belief starts, so balance outweighs it after a few turns.
     */
    private double confidenceAfter(Entry known, TargetId target, boolean hit) {
        if (hit) {
            return 1;
        }
        if (known == null || !known.target.equals(target) || isInvalidated(known)) {
            return INITIAL_CONFIDENCE;
        }
        return known.confidence * CONFIDENCE_FACTOR_AFTER_MISS;
    }

    @Override
    public void forget(TargetId target) {
        invalidatedNanos.put(target, clock.nanos());
    }

    private boolean isInvalidated(Entry entry) {
        Long at = invalidatedNanos.get(entry.target);
        return at != null && entry.updatedNanos - at <= 0;
    }

    private double decayedConfidence(Entry entry) {
        return entry.confidence * Math.pow(0.5, (clock.nanos() - entry.updatedNanos) / halfLifeNanos);
    }

    private Shard shardOf(PrefixDigest prefix) {
        return shards[Math.floorMod(prefix.hashCode(), SHARDS)];
    }
}
