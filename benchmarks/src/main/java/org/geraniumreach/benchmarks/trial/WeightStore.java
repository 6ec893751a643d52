package org.geraniumreach.benchmarks.trial;

import java.util.ArrayDeque;
import java.util.Deque;

/** The rate-limited store of weights: transfers begin in order at its rate, and slow down beyond eight in transit. */
final class WeightStore {

    private static final double FULL_SPEED_SECONDS = 0.25;
    private static final double AT_FULL_SPEED = 8;

    private final EventLoop loop;
    private final double secondsBetween;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean beginning;
    private double freeAt;
    private int inTransit;
    private long begun;

    WeightStore(EventLoop loop, double loadsPerSecond) {
        this.loop = loop;
        this.secondsBetween = 1 / loadsPerSecond;
    }

    void load(Runnable arrived) {
        waiting.add(arrived);
        beginNext();
    }

    private void beginNext() {
        if (beginning || waiting.isEmpty()) {
            return;
        }
        beginning = true;
        double now = loop.nanos() / 1e9;
        loop.after(Math.max(0, freeAt - now), this::begin);
    }

    private void begin() {
        beginning = false;
        freeAt = loop.nanos() / 1e9 + secondsBetween;
        Runnable arrived = waiting.poll();
        inTransit++;
        begun++;
        loop.after(FULL_SPEED_SECONDS * Math.max(1, inTransit / AT_FULL_SPEED), () -> {
            inTransit--;
            arrived.run();
        });
        beginNext();
    }

    long begun() {
        return begun;
    }
}
