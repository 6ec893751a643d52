package org.geraniumreach.daemon.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * Keeps the main thread of a daemon until it is told to end and its work is done.
 *
 * <p>Invariant: a first signal cuts nothing off; a second one, or the drain's limit, does, and the log says how much. Safe
 * for use by several threads.
 */
public final class DrainLoop {

    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long REQUIRED_IDLE_POLLS = 4;

    private final Daemon daemon;
    private final MonotonicClock clock;
    private final AtomicInteger signals = new AtomicInteger();
    private final CountDownLatch endSignalled = new CountDownLatch(1);

    /**
     * Makes a loop.
     *
     * @param daemon the daemon, not null
     * @param clock elapsed time, not null
     */
    public DrainLoop(Daemon daemon, MonotonicClock clock) {
        this.daemon = daemon;
        this.clock = clock;
    }

    /** Tells that the process is to end; a second call cuts off what runs. */
    public void signal() {
        signals.incrementAndGet();
        endSignalled.countDown();
    }

    /**
     * Waits for the signal and the end of the work, and closes the daemon.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void run() throws InterruptedException {
        endSignalled.await();
        EventLog.write(EventCode.DRAINING, "{} requests running", daemon.running());
        daemon.drain();
        long deadline = clock.nanos() + daemon.drainLimit().toNanos();
        int idle = 0;
        // A request that had been sent before its sender heard of the drain may still be on its way, so one idle
        // reading is not the end.
        while (idle < REQUIRED_IDLE_POLLS && signals.get() < 2 && clock.nanos() < deadline) {
            idle = daemon.running() == 0 ? idle + 1 : 0;
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        int cut = daemon.running();
        if (cut > 0) {
            EventLog.write(EventCode.DRAIN_CUT, "{} requests cut off", cut);
        } else {
            EventLog.write(EventCode.DRAINED, "nothing cut off");
        }
        daemon.close();
    }
}
