package org.geraniumreach.node;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * Logs that the event loop has run a periodic timer late, with what the process did in the time from one run to the next.
 *
 * <p>Garbage collection that takes most of the delay is its cause; processor time that is much shorter than the interval means that the process
 * was stopped or had no processor. Confined to the event loop.
 */
final class LoopDelayMonitor {

    /** Timers of a process that has its processor are hardly later than this. */
    static final Duration MAXIMUM_DELAY = Duration.ofMillis(100);

    private final Duration interval;
    private final LongSupplier collectionMillis;
    private final LongSupplier processorNanos;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private OptionalLong lastRunAt = OptionalLong.empty();
    private long lastCollectionMillis;
    private long lastProcessorNanos;

    /**
     * Creates a monitor.
     *
     * @param interval the interval at which the timer is due, not null
     * @param collectionMillis supplies the time that garbage collection has taken, in milliseconds, not null
     * @param processorNanos supplies the processor time that the process has used, in nanoseconds, not null
     * @param clock the clock, not null
     * @param log receives the log entries, not null
     */
    LoopDelayMonitor(
            Duration interval,
            LongSupplier collectionMillis,
            LongSupplier processorNanos,
            MonotonicClock clock,
            DecisionLog log) {
        this.interval = Objects.requireNonNull(interval, "interval");
        this.collectionMillis = Objects.requireNonNull(collectionMillis, "collectionMillis");
        this.processorNanos = Objects.requireNonNull(processorNanos, "processorNanos");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Called each time that the timer runs. */
    void onTimer() {
        long now = clock.nanos();
        long collected = collectionMillis.getAsLong();
        long processor = processorNanos.getAsLong();
        lastRunAt.ifPresent(last -> {
            Duration delay = Duration.ofNanos(now - last).minus(interval);
            if (delay.compareTo(MAXIMUM_DELAY) > 0) {
                log.write(
                        EventCode.LOOP_DELAYED,
                        "",
                        Field.of("delayMillis", delay.toMillis()),
                        Field.of("collectionMillis", collected - lastCollectionMillis),
                        Field.of(
                                "processorMillis",
                                Duration.ofNanos(processor - lastProcessorNanos).toMillis()));
            }
        });
        lastRunAt = OptionalLong.of(now);
        lastCollectionMillis = collected;
        lastProcessorNanos = processor;
    }
}
