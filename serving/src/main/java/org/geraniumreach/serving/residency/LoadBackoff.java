package org.geraniumreach.serving.residency;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.AdapterReference;

/**
 * The back-off of adapters whose loads failed recently, during which requests for them are refused.
 *
 * <p>Invariant: the back-off doubles with each consecutive failure up to a maximum; an adapter is removed once twice
 * its back-off has passed. Guarded by the lock of its {@link Residency}.
 */
final class LoadBackoff {

    private static final int MAXIMUM_DOUBLINGS = 20;

    private final long firstBackoffNanos;
    private final long longestBackoffNanos;
    private final Map<AdapterReference, FailedLoad> failedLoads = new HashMap<>();

    LoadBackoff(Duration firstBackoff, Duration longestBackoff) {
        this.firstBackoffNanos = firstBackoff.toNanos();
        this.longestBackoffNanos = longestBackoff.toNanos();
    }

    private record FailedLoad(int consecutiveFailures, long failedNanos, long backoffNanos) {
        private long remainingNanos(long now) {
            return backoffNanos - (now - failedNanos);
        }
    }

    void onFailed(AdapterReference adapter, long now) {
        failedLoads.values().removeIf(failure -> failure.remainingNanos(now) < -failure.backoffNanos);
        FailedLoad previous = failedLoads.get(adapter);
        int consecutiveFailures = previous == null ? 1 : previous.consecutiveFailures + 1;
        long backoffNanos = firstBackoffNanos << Math.min(consecutiveFailures - 1, MAXIMUM_DOUBLINGS);
        failedLoads.put(adapter, new FailedLoad(consecutiveFailures, now, Math.min(longestBackoffNanos, backoffNanos)));
    }

    void onSucceeded(AdapterReference adapter) {
        failedLoads.remove(adapter);
    }

    Optional<Duration> remainingBackoff(AdapterReference adapter, long now) {
        FailedLoad failure = failedLoads.get(adapter);
        if (failure == null || failure.remainingNanos(now) <= 0) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos(failure.remainingNanos(now)));
    }
}
