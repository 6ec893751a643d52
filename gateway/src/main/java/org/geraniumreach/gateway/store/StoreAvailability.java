package org.geraniumreach.gateway.store;

import java.util.ArrayList;
import java.util.List;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.StoreReply;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * Whether the store answers.
 *
 * <p>Invariant: one line of the log for each loss and each return. Confined to the event loop.
 */
public final class StoreAvailability {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final MonotonicClock clock;
    private final DecisionLog log;
    private final String subject;
    private final List<Listener> listeners = new ArrayList<>();
    private boolean unreachable;
    private long unreachableSince;

    /** Is told of changes. */
    public interface Listener {

        /** Tells that the store does not answer. */
        void lost();

        /** Tells that it answers again. */
        void answersAgain();
    }

    /**
     * Makes a watch of a store that is taken to answer.
     *
     * @param clock the clock, not null
     * @param log takes decisions, not null
     * @param subject what is read or written, for the log, empty for everything, not null
     */
    public StoreAvailability(MonotonicClock clock, DecisionLog log, String subject) {
        this.clock = clock;
        this.log = log;
        this.subject = subject;
    }

    /**
     * Registers who is told of changes.
     *
     * @param listener the listener, not null
     */
    public void listen(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Takes what came of a call.
     *
     * @param reply the reply, not null
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
        listeners.forEach(Listener::lost);
    }

    private void markReachable() {
        if (!unreachable) {
            return;
        }
        unreachable = false;
        long awayMillis = (clock.nanos() - unreachableSince) / NANOS_PER_MILLI;
        log.write(EventCode.PLATFORM_REACHABLE, subject, Field.of("awayMillis", awayMillis));
        listeners.forEach(Listener::answersAgain);
    }

    public boolean isUnreachable() {
        return unreachable;
    }
}
