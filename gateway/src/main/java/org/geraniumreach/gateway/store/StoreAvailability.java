package org.geraniumreach.gateway.store;

import java.util.ArrayList;
import java.util.List;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.StoreReply;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * Tracks whether the store is reachable.
 *
 * <p>Invariant: each loss and each recovery is logged once. Confined to the event loop.
 */
public final class StoreAvailability {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final MonotonicClock clock;
    private final DecisionLog log;
    private final String subject;
    private final List<Listener> listeners = new ArrayList<>();
    private boolean unreachable;
    private long unreachableSince;

    /** Receives changes of reachability. */
    public interface Listener {

        /** Called when the store has become unreachable. */
        void onUnreachable();

        /** Called when the store has become reachable again. */
        void onReachable();
    }

    /**
     * Creates an instance that takes the store to be reachable.
     *
     * @param clock the steady clock, not null
     * @param log receives losses and recoveries, not null
     * @param subject the part of the store that this instance covers, for the log, empty for all of it, not null
     */
    public StoreAvailability(MonotonicClock clock, DecisionLog log, String subject) {
        this.clock = clock;
        this.log = log;
        this.subject = subject;
    }

    /**
     * Registers a listener.
     *
     * @param listener the listener, not null
     */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Records the result of a call.
     *
     * @param reply the result, not null
     */
    public void record(StoreReply<?> reply) {
        if (reply instanceof StoreReply.Unknown<?> unknown) {
            markUnreachable(unknown.reason());
        } else if (reply instanceof StoreReply.Refused<?> refused) {
            markUnreachable(refused.reason());
        } else {
            markReachable();
        }
    }

    private void markUnreachable(String reason) {
        if (unreachable) {
            return;
        }
        unreachable = true;
        unreachableSince = clock.nanos();
        log.write(EventCode.PLATFORM_UNREACHABLE, subject, Field.of("reason", reason));
        listeners.forEach(Listener::onUnreachable);
    }

    private void markReachable() {
        if (!unreachable) {
            return;
        }
        unreachable = false;
        long unreachableMillis = (clock.nanos() - unreachableSince) / NANOS_PER_MILLI;
        log.write(EventCode.PLATFORM_REACHABLE, subject, Field.of("awayMillis", unreachableMillis));
        listeners.forEach(Listener::onReachable);
    }

    public boolean isUnreachable() {
        return unreachable;
    }
}
