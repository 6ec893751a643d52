package org.geraniumreach.standins.engine;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import org.tinylog.Logger;

/**
 * Runs the steps of an engine in real time and sends the generated tokens to the readers.
 *
 * <p>Invariant: the lists of readers are immutable and replaced atomically, so a reader that is attached while its stream
 * ends is not lost. Safe for use by several threads.
 */
final class EngineThread {

    private static final long HEARTBEAT_INTERVAL_MILLIS = 250;

    private final Engine engine;
    private final Map<EngineStream, List<StreamReader>> readers = new ConcurrentHashMap<>();

    private EngineThread(Engine engine) {
        this.engine = engine;
    }

    static EngineThread start(String name, Engine engine, ScheduledExecutorService timer) {
        EngineThread engineThread = new EngineThread(engine);
        Thread thread = new Thread(engineThread::run, name);
        thread.setDaemon(true);
        thread.start();
        timer.scheduleAtFixedRate(
                engineThread::heartbeat, HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return engineThread;
    }

    private void run() {
        long dueNanos = System.nanoTime();
        try {
            while (true) {
                double micros = engine.beginStep();
                // Idle time is not made up for: after a pause the schedule restarts at most 2 ms in the past.
                dueNanos = Math.max(dueNanos, System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(2))
                        + (long) (micros * 1000);
                sleepUntil(dueNanos);
                engine.endStep(micros).forEach(this::sendAvailable);
            }
        } catch (InterruptedException e) {
            Logger.info("engine thread interrupted, no further steps are run");
        }
    }

    private static void sleepUntil(long dueNanos) {
        long remainingNanos = dueNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = dueNanos - System.nanoTime();
        }
    }

    void attach(EngineStream stream, StreamReader reader) {
        reader.sendFirstLine();
        readers.merge(stream, List.of(reader), EngineThread::concatenate);
        sendAvailable(stream);
    }

    void sendAvailable(EngineStream stream) {
        List<StreamReader> attached = readers.getOrDefault(stream, List.of());
        attached.forEach(StreamReader::sendAvailable);
        if (!attached.stream().allMatch(StreamReader::isOpen)) {
            readers.computeIfPresent(stream, (key, current) -> withoutClosed(current));
        }
    }

    private static List<StreamReader> concatenate(List<StreamReader> attached, List<StreamReader> added) {
        return Stream.concat(attached.stream(), added.stream()).toList();
    }

    /** Returns the open readers, or null if there are none, which removes the stream from the map. */
    private static List<StreamReader> withoutClosed(List<StreamReader> attached) {
        List<StreamReader> open = attached.stream().filter(StreamReader::isOpen).toList();
        return open.isEmpty() ? null : open;
    }

    void flushReaders() {
        readers.keySet().forEach(this::sendAvailable);
    }

    private void heartbeat() {
        for (Map.Entry<EngineStream, List<StreamReader>> entry : readers.entrySet()) {
            entry.getValue().forEach(StreamReader::heartbeat);
            if (!entry.getKey().isRunning()) {
                sendAvailable(entry.getKey());
            }
        }
    }
}
