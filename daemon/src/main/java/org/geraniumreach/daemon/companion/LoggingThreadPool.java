package org.geraniumreach.daemon.companion;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.model.EventCode;

/**
 * A pool of a fixed number of daemon threads that logs exceptions thrown by tasks.
 *
 * <p>Tasks submitted after the shutdown are discarded; all others are run.
 *
 * <p>Safe for use by several threads.
 */
final class LoggingThreadPool extends ThreadPoolExecutor {

    private static final long KEEP_ALIVE_SECONDS = 30;

    LoggingThreadPool(String name, int threads) {
        super(threads, threads, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS, new LinkedBlockingQueue<>());
        AtomicInteger count = new AtomicInteger();
        setThreadFactory(task -> {
            Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        });
        allowCoreThreadTimeOut(true);
        setRejectedExecutionHandler(new DiscardPolicy());
    }

    @Override
    protected void afterExecute(Runnable task, Throwable failure) {
        if (failure != null) {
            EventLog.write(EventCode.UNEXPECTED_FAILURE, failure, "task of the companion failed");
        }
    }
}
