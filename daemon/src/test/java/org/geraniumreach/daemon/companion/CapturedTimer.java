package org.geraniumreach.daemon.companion;

import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A timer that runs no task and passes each to the test instead.
 *
 * <p>It starts no thread. A real timer would keep one thread per simulation that wakes every 10 ms even if its task is
 * due far in the future; a fuzz test creates thousands of simulations, which loaded the machine and kept the test
 * process from exiting.
 */
final class CapturedTimer extends ScheduledThreadPoolExecutor {

    private final Consumer<Runnable> captor;

    CapturedTimer(Consumer<Runnable> captor) {
        super(0);
        this.captor = captor;
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable task, long first, long delay, TimeUnit unit) {
        captor.accept(task);
        return new ManualTask();
    }

    /** The handle of a task that only the test runs. */
    private static final class ManualTask extends FutureTask<Void> implements ScheduledFuture<Void> {

        private ManualTask() {
            super(() -> null);
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return Long.MAX_VALUE;
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(Long.MAX_VALUE, other.getDelay(TimeUnit.NANOSECONDS));
        }
    }
}
