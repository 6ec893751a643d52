package org.geraniumreach.node;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;

/**
 * Schedules timers on a Netty event loop.
 *
 * <p>Confined to the event loop.
 */
final class EventLoopTimers implements Timers {

    private final EventLoop loop;

    EventLoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable action) {
        Future<?> scheduled = loop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }
}
