package org.geraniumreach.daemon.companion;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A timer that runs nothing, and gives its tasks to the test. */
final class CapturedTimer extends ScheduledThreadPoolExecutor {

    private final Consumer<Runnable> captor;

    CapturedTimer(Consumer<Runnable> captor) {
        super(0);
        this.captor = captor;
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable task, long first, long delay, TimeUnit unit) {
        captor.accept(task);
        return schedule(() -> {}, Long.MAX_VALUE, TimeUnit.DAYS);
    }
}
