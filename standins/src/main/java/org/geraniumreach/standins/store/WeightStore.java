package org.geraniumreach.standins.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Transfers of adapters, which share a limited width and begin at a limited rate.
 *
 * <p>A transfer takes the full-speed time while at most so many are in transit, and longer in proportion beyond. One that
 * comes above the rate waits for its turn in order. Invariant: each transfer is completed once. Safe for use by several
 * threads, under one lock.
 */
public final class WeightStore {

    private static final long TICK_MILLIS = 5;

    private final double loadsPerSecond;
    private final long fullSpeedMillis;
    private final int fullSpeedCount;
    private final Deque<Transfer> waiting = new ArrayDeque<>();
    private final List<Transfer> inTransit = new ArrayList<>();
    private double allowance = 1;
    private long lastNanos = System.nanoTime();
    private long done;
    private int mostInTransit;

    /**
     * Makes a store.
     *
     * @param loadsPerSecond the rate at which transfers begin, 0 for no limit
     * @param fullSpeedMillis how long a transfer takes at full speed
     * @param fullSpeedCount how many may be in transit at full speed
     * @param timer moves the transfers on, not null
     */
    public WeightStore(
            double loadsPerSecond, long fullSpeedMillis, int fullSpeedCount, ScheduledExecutorService timer) {
        this.loadsPerSecond = loadsPerSecond;
        this.fullSpeedMillis = fullSpeedMillis;
        this.fullSpeedCount = fullSpeedCount;
        timer.scheduleAtFixedRate(this::moveOn, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Begins a transfer.
     *
     * @return done when the adapter is there
     */
    public synchronized CompletionStage<Void> begin() {
        Transfer transfer = new Transfer(fullSpeedMillis);
        waiting.add(transfer);
        return transfer.arrival;
    }

    private void moveOn() {
        List<Transfer> arrived = new ArrayList<>();
        synchronized (this) {
            long now = System.nanoTime();
            double millis = (now - lastNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
            lastNanos = now;
            double slowdown = Math.max(1, inTransit.size() / (double) fullSpeedCount);
            for (Transfer transfer : inTransit) {
                transfer.millisLeft -= millis / slowdown;
            }
            inTransit.stream().filter(Transfer::isOver).forEach(arrived::add);
            inTransit.removeAll(arrived);
            done += arrived.size();
            admit(millis);
        }
        arrived.forEach(transfer -> transfer.arrival.complete(null));
    }

    private void admit(double millis) {
        allowance = Math.min(Math.max(1, loadsPerSecond), allowance + loadsPerSecond * millis / 1000);
        while (!waiting.isEmpty() && (loadsPerSecond == 0 || allowance >= 1)) {
            allowance--;
            inTransit.add(waiting.poll());
        }
        mostInTransit = Math.max(mostInTransit, inTransit.size());
    }

    /**
     * Gets the figures.
     *
     * @return the figures, not null
     */
    public synchronized Figures figures() {
        return new Figures(waiting.size(), inTransit.size(), mostInTransit, done);
    }

    /**
     * Figures of the store.
     *
     * @param waiting transfers that have not begun
     * @param inTransit transfers begun
     * @param mostInTransit the most ever in transit
     * @param done transfers done
     */
    public record Figures(int waiting, int inTransit, int mostInTransit, long done) {}

    private static final class Transfer {

        private final CompletableFuture<Void> arrival = new CompletableFuture<>();
        private double millisLeft;

        Transfer(double millisLeft) {
            this.millisLeft = millisLeft;
        }

        boolean isOver() {
            return millisLeft <= 0;
        }
    }
}
