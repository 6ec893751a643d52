package org.geraniumreach.benchmarks.trial;

import java.util.ArrayDeque;
import java.util.Deque;

/** Simulates a rate-limited weight store. Transfers start in order at its rate, and slow down when over eight are running. */
final class WeightStore {

    private static final double FULL_SPEED_TRANSFER_SECONDS = 0.25;
    private static final double MAX_FULL_SPEED_TRANSFERS = 8;

    private final EventLoop loop;
    private final double secondsBetweenStarts;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean startScheduled;
    private double nextStartSeconds;
    private int inTransit;
    private long startedCount;

    WeightStore(EventLoop loop, double loadsPerSecond) {
        this.loop = loop;
        this.secondsBetweenStarts = 1 / loadsPerSecond;
    }

    void load(Runnable onLoaded) {
        waiting.add(onLoaded);
        scheduleNextStart();
    }

    private void scheduleNextStart() {
        if (startScheduled || waiting.isEmpty()) {
            return;
        }
        startScheduled = true;
        double nowSeconds = loop.nanos() / 1e9;
        loop.scheduleAfter(Math.max(0, nextStartSeconds - nowSeconds), this::startNext);
    }

    private void startNext() {
        startScheduled = false;
        nextStartSeconds = loop.nanos() / 1e9 + secondsBetweenStarts;
        Runnable onLoaded = waiting.poll();
        inTransit++;
        startedCount++;
        loop.scheduleAfter(FULL_SPEED_TRANSFER_SECONDS * Math.max(1, inTransit / MAX_FULL_SPEED_TRANSFERS), () -> {
            inTransit--;
            onLoaded.run();
        });
        scheduleNextStart();
    }

    long startedCount() {
        return startedCount;
    }
}
