package org.geraniumreach.serving.residency;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.AdapterReference;

/**
 * The adapters whose loads lately failed, and for how long requests on them are refused.
 *
 * <p>Invariant: the time doubles with each failure in a row up to the greatest; an adapter is forgotten once its time has
 * passed twice over. Confined to the lock of its residency.
 */
final class LoadBackoff {

    private static final int MAXIMUM_DOUBLINGS = 20;

    private final long firstBackoffNanos;
    private final long longestBackoffNanos;
    private final Map<AdapterReference, FailedLoad> failedLoads = new HashMap<>();

    LoadBackoff(Duration first, Duration longest) {
        this.firstBackoffNanos = first.toNanos();
        this.longestBackoffNanos = longest.toNanos();
    }

    private record FailedLoad(int consecutiveFailures, long failedNanos, long backoffNanos) {
        private long remainingNanos(long now) {
            return backoffNanos - (now - failedNanos);
        }
    }

    void onFailed(AdapterReference adapter, long now) {
        failedLoads.values().removeIf(failure -> failure.remainingNanos(now) < -failure.backoffNanos);
        FailedLoad before = failedLoads.get(adapter);
        int inRow = before == null ? 1 : before.consecutiveFailures + 1;
        long doubled = firstBackoffNanos << Math.min(inRow - 1, MAXIMUM_DOUBLINGS);
        failedLoads.put(adapter, new FailedLoad(inRow, now, Math.min(longestBackoffNanos, doubled)));
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
