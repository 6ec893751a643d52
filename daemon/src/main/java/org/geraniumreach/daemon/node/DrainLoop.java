package org.geraniumreach.daemon.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * Blocks the main thread of a daemon until the process is told to end and its requests are finished.
 *
 * <p>Invariant: the first signal aborts no request; a second signal or the drain limit does, and the number of aborted
 * requests is logged. Safe for use by several threads.
 */
public final class DrainLoop {

    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long REQUIRED_IDLE_POLLS = 4;

    private final Daemon daemon;
    private final MonotonicClock clock;
    private final AtomicInteger signals = new AtomicInteger();
    private final CountDownLatch endSignalled = new CountDownLatch(1);

    /**
     * Creates a loop.
     *
     * @param daemon the daemon, not null
     * @param clock the monotonic clock, not null
     */
    public DrainLoop(Daemon daemon, MonotonicClock clock) {
        this.daemon = daemon;
        this.clock = clock;
    }

    /** Starts the drain; a second call aborts the running requests. */
    public void signal() {
        signals.incrementAndGet();
        endSignalled.countDown();
    }

    /**
     * Waits for the signal and the end of the running requests, then closes the daemon.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void run() throws InterruptedException {
        endSignalled.await();
        EventLog.write(EventCode.DRAINING, "{} requests running", daemon.runningRequests());
        daemon.drain();
        long deadline = clock.nanos() + daemon.drainLimit().toNanos();
        int idle = 0;
        // A request sent before its sender learned of the drain may still be in transit, so a single idle poll does not
        // end the drain.
        while (idle < REQUIRED_IDLE_POLLS && signals.get() < 2 && clock.nanos() < deadline) {
            idle = daemon.runningRequests() == 0 ? idle + 1 : 0;
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        int aborted = daemon.runningRequests();
        if (aborted > 0) {
            EventLog.write(EventCode.DRAIN_CUT, "{} requests cut off", aborted);
        } else {
            EventLog.write(EventCode.DRAINED, "all requests have finished");
        }
        daemon.close();
    }
}
