package org.geraniumreach.standins.engine;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.tinylog.Logger;

/**
 * Takes an engine's steps in time, and sends what they bring.
 *
 * <p>Safe for use by several threads.
 */
final class EngineThread {

    private static final long HEARTBEAT_INTERVAL_MILLIS = 250;

    private final Engine engine;
    private final Map<EngineStream, List<StreamReader>> readers = new ConcurrentHashMap<>();

    private EngineThread(Engine engine) {
        this.engine = engine;
    }

    static EngineThread start(String name, Engine engine, ScheduledExecutorService timer) {
        EngineThread steps = new EngineThread(engine);
        Thread thread = new Thread(steps::run, name);
        thread.setDaemon(true);
        thread.start();
        timer.scheduleAtFixedRate(
                steps::heartbeat, HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return steps;
    }

    private void run() {
        long due = System.nanoTime();
        try {
            while (true) {
                double micros = engine.beginStep();
                // After a pause the engine does not catch up on the time that it had nothing to do.
                due = Math.max(due, System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(2)) + (long) (micros * 1000);
                sleepUntil(due);
                engine.endStep(micros).forEach(this::sendAvailable);
            }
        } catch (InterruptedException e) {
            Logger.info("engine stopped");
        }
    }

    private static void sleepUntil(long due) {
        long left = due - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = due - System.nanoTime();
        }
    }

    void attach(EngineStream stream, StreamReader reader) {
        reader.sendFirstLine();
        readers.computeIfAbsent(stream, added -> new CopyOnWriteArrayList<>()).add(reader);
        sendAvailable(stream);
    }

    void sendAvailable(EngineStream stream) {
        List<StreamReader> attached = readers.get(stream);
        if (attached == null) {
            return;
        }
        attached.forEach(StreamReader::sendAvailable);
        attached.removeIf(reader -> !reader.isOpen());
        if (attached.isEmpty() && !stream.isRunning()) {
            readers.remove(stream, attached);
        }
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
