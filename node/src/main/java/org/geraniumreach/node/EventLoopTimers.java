package org.geraniumreach.node;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.port.UnexpectedFailure;

/**
 * Schedules timers on a Netty event loop.
 *
 * <p>Invariant: an action that fails is logged. Confined to the event loop.
 */
final class EventLoopTimers implements Timers {

    private final EventLoop loop;
    private final DecisionLog log;

    EventLoopTimers(EventLoop loop, DecisionLog log) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.log = Objects.requireNonNull(log, "log");
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable action) {
        Future<?> scheduled = loop.schedule(() -> run(action), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }

    /** Runs an action; Netty would keep its failure in the future, where nobody looks for it. */
    private void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException failure) {
            UnexpectedFailure.log(log, "", failure);
        }
    }
}
