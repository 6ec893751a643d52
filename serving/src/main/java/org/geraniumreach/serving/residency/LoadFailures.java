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
final class LoadFailures {

    private static final int MAXIMUM_DOUBLINGS = 20;

    private final long firstNanos;
    private final long longestNanos;
    private final Map<AdapterReference, Failed> failed = new HashMap<>();

    LoadFailures(Duration first, Duration longest) {
        this.firstNanos = first.toNanos();
        this.longestNanos = longest.toNanos();
    }

    private record Failed(int inRow, long atNanos, long backoffNanos) {
        private long leftNanos(long now) {
            return backoffNanos - (now - atNanos);
        }
    }

    void failed(AdapterReference adapter, long now) {
        failed.values().removeIf(failure -> failure.leftNanos(now) < -failure.backoffNanos);
        Failed before = failed.get(adapter);
        int inRow = before == null ? 1 : before.inRow + 1;
        long doubled = firstNanos << Math.min(inRow - 1, MAXIMUM_DOUBLINGS);
        failed.put(adapter, new Failed(inRow, now, Math.min(longestNanos, doubled)));
    }

    void succeeded(AdapterReference adapter) {
        failed.remove(adapter);
    }

    Optional<Duration> backoffLeft(AdapterReference adapter, long now) {
        Failed failure = failed.get(adapter);
        if (failure == null || failure.leftNanos(now) <= 0) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos(failure.leftNanos(now)));
    }
}
