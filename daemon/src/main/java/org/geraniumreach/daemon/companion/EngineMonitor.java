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
 * Keeps the known state of the engine up to date.
 *
 * <p>An engine that restarts has no adapters loaded. A request sent on stale state would run on the bare model, or on
 * the adapter that was loaded into its slot since. The state is therefore read before each send, unless it was read
 * within the maximum age, which is below the time that a restart takes. Concurrent callers share one read. Safe for use
 * by several threads, under its own lock.
 */
final class EngineMonitor {

    private final ModelEngine engine;
    private final Residency residency;
    private final MonotonicClock clock;
    private final long maxAgeNanos;
    private boolean isViewValid;
    private long refreshedAt;
    private boolean isReachable = true;
    private Result lastFailure = Result.UNREACHABLE;
    private long failedAt;
    private volatile long incarnation;
    private volatile Set<AttemptId> streams = Set.of();

    EngineMonitor(ModelEngine engine, Residency residency, MonotonicClock clock, Duration maxAge) {
        this.engine = engine;
        this.residency = residency;
        this.clock = clock;
        this.maxAgeNanos = maxAge.toNanos();
    }

    /** What is known of the engine after a read. */
    enum Result {
        /** Its state is known. */
        CURRENT,
        /** It has left the read without an answer and may only stand still. */
        SILENT,
        /** It cannot be reached or has answered with an error. */
        UNREACHABLE
    }

    /**
     * Reads the engine's state if the known state is older than the maximum age; blocks during the read.
     *
     * @return false if the engine does not answer
     */
    boolean refreshIfStale() {
        return readIfStale() == Result.CURRENT;
    }

    /**
     * Reads the engine's state if the known state is older than the maximum age; blocks during the read.
     *
     * @return the result, not null
     */
    Result readIfStale() {
        long arrivedAt = clock.nanos();
        synchronized (this) {
            if (isViewValid && clock.nanos() - refreshedAt <= maxAgeNanos) {
                return Result.CURRENT;
            }
            if (!isReachable && failedAt - arrivedAt >= 0) {
                return lastFailure;
            }
            return refresh();
        }
    }

    /**
     * Makes the next {@link #refreshIfStale} read the engine's state, since an answer of the engine contradicted the
     * known state.
     */
    synchronized void invalidate() {
        isViewValid = false;
    }

    private Result refresh() {
        long askedAt = clock.nanos();
        try {
            apply(engine.state(), askedAt);
            return Result.CURRENT;
        } catch (PlatformException failure) {
            if (isReachable) {
                EventLog.write(EventCode.ENGINE_UNREACHABLE, "{}", failure.getMessage());
            }
            isReachable = false;
            lastFailure = failure.reason() == PlatformException.Reason.NO_ANSWER ? Result.SILENT : Result.UNREACHABLE;
            isViewValid = false;
            failedAt = clock.nanos();
            return lastFailure;
        }
    }

    private void apply(ModelEngine.State state, long askedAt) {
        boolean isFirst = incarnation == 0;
        boolean isRestarted = residency.synchronise(state.incarnation(), state.resident(), askedAt);
        incarnation = state.incarnation();
        streams = state.streams();
        isViewValid = true;
        isReachable = true;
        refreshedAt = askedAt;
        if (isRestarted && !isFirst) {
            EventLog.write(EventCode.ENGINE_RESTARTED, "incarnation {}", state.incarnation());
        }
    }

    /**
     * Gets the streams that the engine had at the last read.
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
