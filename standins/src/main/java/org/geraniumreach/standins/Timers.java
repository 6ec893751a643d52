package org.geraniumreach.standins;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/** Creates timers with daemon threads. Stateless and safe for use by several threads. */
public final class Timers {

    private static final int THREADS = 2;

    private Timers() {}

    /**
     * Creates a timer.
     *
     * @return the timer, not null
     */
    public static ScheduledExecutorService create() {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(THREADS, task -> {
            Thread thread = new Thread(task, "timer");
            thread.setDaemon(true);
            return thread;
        });
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }
}
