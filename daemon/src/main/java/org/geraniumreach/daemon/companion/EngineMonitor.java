package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.util.Set;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.ports.ModelEngine;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.serving.residency.Residency;

/**
 * Keeps the view of the engine's residency true.
 *
 * <p>An engine that restarts holds nothing. If requests were sent on the old view, it would run them on the bare model, or
 * on what another slot now holds. So the engine is looked at before each send, unless it was a moment ago; the moment is
 * below what a restart takes. Callers that wait at the same time share one look. Safe for use by several threads, under its
 * own lock.
 */
final class EngineMonitor {

    private final ModelEngine engine;
    private final Residency residency;
    private final MonotonicClock clock;
    private final long maxAgeNanos;
    private boolean isViewValid;
    private long refreshedAt;
    private boolean isReachable = true;
    private long failedAt;
    private volatile long incarnation;
    private volatile Set<AttemptId> streams = Set.of();

    EngineMonitor(ModelEngine engine, Residency residency, MonotonicClock clock, Duration age) {
        this.engine = engine;
        this.residency = residency;
        this.clock = clock;
        this.maxAgeNanos = age.toNanos();
    }

    /**
     * Sees to it that the view is no older than the limit; blocks while the engine is asked.
     *
     * @return false if the engine does not answer
     */
    boolean refreshIfStale() {
        long arrivedAt = clock.nanos();
        synchronized (this) {
            if (isViewValid && clock.nanos() - refreshedAt <= maxAgeNanos) {
                return true;
            }
            if (!isReachable && failedAt - arrivedAt >= 0) {
                return false;
            }
            return refresh();
        }
    }

    /** Makes the next {@link #refreshIfStale} ask the engine, since it contradicted the view. */
    synchronized void invalidate() {
        isViewValid = false;
    }

    private boolean refresh() {
        long askedAt = clock.nanos();
        try {
            apply(engine.state(), askedAt);
            return true;
        } catch (PlatformException failure) {
            if (isReachable) {
                EventLog.write(EventCode.ENGINE_UNREACHABLE, "{}", failure.getMessage());
            }
            isReachable = false;
            isViewValid = false;
            failedAt = clock.nanos();
            return false;
        }
    }

    private void apply(ModelEngine.State state, long askedAt) {
        boolean first = incarnation == 0;
        boolean restarted = residency.synchronise(state.incarnation(), state.resident(), askedAt);
        incarnation = state.incarnation();
        streams = state.streams();
        isViewValid = true;
        isReachable = true;
        refreshedAt = askedAt;
        if (restarted && !first) {
            EventLog.write(EventCode.ENGINE_RESTARTED, "incarnation {}", state.incarnation());
        }
    }

    /**
     * Gets the streams that the engine had when it was looked at last.
     *
     * @return the streams, not null
     */
    Set<AttemptId> streams() {
        return streams;
    }

    long incarnation() {
        return incarnation;
    }
}
