package org.geraniumreach.daemon.companion;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.model.EventCode;

/**
 * A fixed number of daemon threads whose tasks' faults are logged, so that none is lost in silence.
 *
 * <p>Invariant: every task is run, but for those that come after the shutdown.
 *
 * <p>Safe for use by several threads.
 */
final class LoggingThreadPool extends ThreadPoolExecutor {

    private static final long KEEP_ALIVE_SECONDS = 30;

    LoggingThreadPool(String name, int threads) {
        super(threads, threads, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS, new LinkedBlockingQueue<>());
        AtomicInteger number = new AtomicInteger();
        setThreadFactory(task -> {
            Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        });
        allowCoreThreadTimeOut(true);
        setRejectedExecutionHandler(new DiscardPolicy());
    }

    @Override
    protected void afterExecute(Runnable task, Throwable failure) {
        if (failure != null) {
            EventLog.write(EventCode.UNEXPECTED_FAILURE, failure, "a task of the companion failed");
        }
    }
}
