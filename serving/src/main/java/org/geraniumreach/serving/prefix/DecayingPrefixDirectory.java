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
 * A directory whose confidence in a location decays with time and is corrected by the cache hits and misses of
 * requests.
 *
 * <p>Invariants: at most {@code capacity} locations are kept, and the least recently used is dropped first; the
 * confidence halves with each half-life and with each miss at the expected target; a location older than the
 * invalidation of its target is not returned. So a wrong location costs one detour and then has less weight. Safe for
 * use by several threads: prefixes are spread over shards, each under its own lock.
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
     * Creates an empty directory.
     *
     * @param clock the clock, not null
     * @param halfLife the half-life of the confidence, positive
     * @param capacity the maximum number of locations kept, at least 1
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
    public void onRequestEnded(PrefixDigest prefix, TargetId target, boolean hit) {
        Shard shard = shardOf(prefix);
        synchronized (shard) {
            Entry previous = shard.get(prefix);
            shard.put(prefix, new Entry(target, confidenceAfter(previous, target, hit), clock.nanos()));
        }
    }

    /*
     * A target that evicts prefixes early would attract every turn of a conversation and miss each time. Each miss
     * lowers the confidence with which the next location starts, so after a few turns load balance outweighs it.
     */
    private double confidenceAfter(Entry previous, TargetId target, boolean hit) {
        if (hit) {
            return 1;
        }
        if (previous == null || !previous.target.equals(target) || isInvalidated(previous)) {
            return INITIAL_CONFIDENCE;
        }
        return previous.confidence * CONFIDENCE_FACTOR_AFTER_MISS;
    }

    @Override
    public void invalidate(TargetId target) {
        invalidatedNanos.put(target, clock.nanos());
    }

    private boolean isInvalidated(Entry entry) {
        Long invalidated = invalidatedNanos.get(entry.target);
        return invalidated != null && entry.updatedNanos - invalidated <= 0;
    }

    private double decayedConfidence(Entry entry) {
        return entry.confidence * Math.pow(0.5, (clock.nanos() - entry.updatedNanos) / halfLifeNanos);
    }

    private Shard shardOf(PrefixDigest prefix) {
        return shards[Math.floorMod(prefix.hashCode(), SHARDS)];
    }
}
