package org.geraniumreach.gateway.overload;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * Limits the connections that are accepted from callers while more requests have been read than the event loop takes up in time.
 *
 * <p>Intended for an entry that gets most new connections of many entries and has too little processor time for them. A caller whose connection is
 * closed unread can go to another entry at once, while a request that is read waits as long again at each step and with each part of its answer.
 *
 * <p>Invariants: nothing is limited before {@link #WINDOWS_UNTIL_LIMITED} overloaded windows in a row; while it is, the connections accepted in a window
 * are those that the event loop takes up in one, more or fewer as the backlog is below or above the one of {@link #MAXIMUM_DELAY}. Safe for use by
 * several threads.
 */
public final class AcceptLimiter {

    static final Duration WINDOW = Duration.ofMillis(250);

    /** Two such delays, of a request and of its answer, are about the time that the tightest latency objectives leave to an entry. */
    static final Duration MAXIMUM_DELAY = Duration.ofMillis(150);

    /** A process that goes on after a suspension has one window of late requests. */
    static final int WINDOWS_UNTIL_LIMITED = 2;

    /** A limit that refuses nobody for so long has ended. */
    private static final int WINDOWS_UNTIL_UNLIMITED = 8;

    /** Fewer requests wait also for an event loop that is only about to take them up. */
    private static final int MINIMUM_BACKLOG = 8;

    /** Keeps some connections coming while nothing is known of the event loop's rate. */
    private static final int MINIMUM_ACCEPTED = 2;

    private static final int UNLIMITED = Integer.MAX_VALUE;

    private final MonotonicClock clock;
    private final DecisionLog log;
    private long windowStart;
    private int accepted;
    private int refused;
    private int handled;
    private int backlog;
    private int overloadedWindows;
    private int unusedWindows;
    private int limit = UNLIMITED;
    private long refusedCount;

    /**
     * Creates a limiter that limits nothing yet.
     *
     * @param clock the monotonic clock, not null
     * @param log the decision log, not null
     */
    public AcceptLimiter(MonotonicClock clock, DecisionLog log) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.windowStart = clock.nanos();
    }

    /**
     * Decides on a connection that has been opened by a caller.
     *
     * @return true if it is accepted, false if it is to be closed unread
     */
    public synchronized boolean tryAccept() {
        endElapsedWindows();
        if (accepted >= limit) {
            refused++;
            refusedCount++;
            return false;
        }
        accepted++;
        return true;
    }

    /** Records that a request has been read and waits for the event loop. */
    public synchronized void onRead() {
        endElapsedWindows();
        backlog++;
    }

    /** Records that the event loop takes up a request. */
    public synchronized void onHandled() {
        endElapsedWindows();
        backlog--;
        handled++;
    }

    /**
     * Gets the number of connections that were not accepted.
     *
     * @return the number
     */
    public synchronized long refusedCount() {
        return refusedCount;
    }

    private void endElapsedWindows() {
        long elapsed = (clock.nanos() - windowStart) / WINDOW.toNanos();
        if (elapsed == 0) {
            return;
        }
        windowStart += elapsed * WINDOW.toNanos();
        endWindow();
    }

    private void endWindow() {
        int greatestBacklog = Math.max(MINIMUM_BACKLOG, (int) (handled * MAXIMUM_DELAY.toMillis() / WINDOW.toMillis()));
        boolean overloaded = backlog > greatestBacklog;
        overloadedWindows = overloaded ? overloadedWindows + 1 : 0;
        unusedWindows = overloaded || refused > 0 ? 0 : unusedWindows + 1;
        if (limit == UNLIMITED && overloadedWindows >= WINDOWS_UNTIL_LIMITED) {
            logLimited();
            limit = limitFor(greatestBacklog);
        } else if (limit != UNLIMITED && unusedWindows >= WINDOWS_UNTIL_UNLIMITED) {
            log.write(EventCode.CONNECTIONS_UNLIMITED, "", Field.of("refused", refusedCount));
            limit = UNLIMITED;
        } else if (limit != UNLIMITED) {
            limit = limitFor(greatestBacklog);
        }
        accepted = 0;
        refused = 0;
        handled = 0;
    }

    private int limitFor(int greatestBacklog) {
        return Math.max(MINIMUM_ACCEPTED, handled + greatestBacklog - backlog);
    }

    private void logLimited() {
        log.write(
                EventCode.CONNECTIONS_LIMITED,
                "",
                Field.of("windowMillis", WINDOW.toMillis()),
                Field.of("accepted", accepted),
                Field.of("handled", handled),
                Field.of("backlog", backlog));
    }
}
