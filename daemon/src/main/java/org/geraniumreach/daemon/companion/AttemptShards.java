package org.geraniumreach.daemon.companion;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.MonotonicClock;

/**
 * The attempt tables of a companion: one for each shard of the attempt identifiers, with a lock of its own.
 *
 * <p>Invariants: those of {@link AttemptTable}. Safe for use by several threads; no foreign code is called while a
 * shard's lock is held.
 */
final class AttemptShards {

    private static final int SHARD_COUNT = 16;

    private final List<AttemptTable<CompanionAttempt>> shards;
    private final MonotonicClock clock;

    AttemptShards(CompanionSettings settings, MonotonicClock clock) {
        this.clock = clock;
        long retention = settings.attemptRetention().toNanos();
        int capacity = Math.max(1, settings.retainedAttempts() / SHARD_COUNT);
        this.shards = IntStream.range(0, SHARD_COUNT)
                .mapToObj(index -> new AttemptTable<CompanionAttempt>(retention, capacity))
                .toList();
    }

    private AttemptTable<CompanionAttempt> shard(AttemptId id) {
        return shards.get(Math.floorMod(id.hashCode(), SHARD_COUNT));
    }

    AttemptTable.AddResult add(CompanionAttempt attempt) {
        AttemptTable<CompanionAttempt> shard = shard(attempt.id());
        synchronized (shard) {
            return shard.add(attempt.id(), attempt);
        }
    }

    boolean start(AttemptId id) {
        AttemptTable<CompanionAttempt> shard = shard(id);
        synchronized (shard) {
            return shard.start(id);
        }
    }

    void requeue(AttemptId id) {
        AttemptTable<CompanionAttempt> shard = shard(id);
        synchronized (shard) {
            shard.requeue(id);
        }
    }

    void end(AttemptId id, boolean hasRun) {
        AttemptTable<CompanionAttempt> shard = shard(id);
        synchronized (shard) {
            shard.end(id, hasRun, clock.nanos());
        }
    }

    AttemptTable.KnownState seal(AttemptId id, long ageNanos) {
        AttemptTable<CompanionAttempt> shard = shard(id);
        synchronized (shard) {
            return shard.seal(id, ageNanos, clock.nanos());
        }
    }

    Optional<AttemptTable.KnownState> knownState(AttemptId id) {
        AttemptTable<CompanionAttempt> shard = shard(id);
        synchronized (shard) {
            return shard.knownState(id);
        }
    }

    Optional<CompanionAttempt> find(AttemptId id) {
        AttemptTable<CompanionAttempt> shard = shard(id);
        synchronized (shard) {
            return shard.value(id);
        }
    }

    void dropOutput(AttemptId id) {
        AttemptTable<CompanionAttempt> shard = shard(id);
        synchronized (shard) {
            shard.dropValue(id);
        }
    }

    void expire() {
        for (AttemptTable<CompanionAttempt> shard : shards) {
            synchronized (shard) {
                shard.expire(clock.nanos());
            }
        }
    }

    /**
     * Gets the attempts that are not over or whose output is retained.
     *
     * @return a snapshot of the attempts, not null
     */
    List<CompanionAttempt> all() {
        List<CompanionAttempt> all = new ArrayList<>();
        for (AttemptTable<CompanionAttempt> shard : shards) {
            synchronized (shard) {
                all.addAll(shard.values());
            }
        }
        return all;
    }
}
