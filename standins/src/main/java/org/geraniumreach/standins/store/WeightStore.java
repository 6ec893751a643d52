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

    private static final long TICK_INTERVAL_MILLIS = 5;

    private final double loadsPerSecond;
    private final long fullSpeedMillis;
    private final int fullSpeedCount;
    private final Deque<Transfer> waiting = new ArrayDeque<>();
    private final List<Transfer> inTransit = new ArrayList<>();
    private double availableStarts = 1;
    private long lastNanos = System.nanoTime();
    private long completedCount;
    private int maximumInTransit;

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
        timer.scheduleAtFixedRate(
                this::advanceTransfers, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Begins a transfer.
     *
     * @return done when the adapter is there
     */
    public synchronized CompletionStage<Void> startTransfer() {
        Transfer transfer = new Transfer(fullSpeedMillis);
        waiting.add(transfer);
        return transfer.completion;
    }

    private void advanceTransfers() {
        List<Transfer> arrived = new ArrayList<>();
        synchronized (this) {
            long now = System.nanoTime();
            double millis = (now - lastNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
            lastNanos = now;
            double slowdown = Math.max(1, inTransit.size() / (double) fullSpeedCount);
            for (Transfer transfer : inTransit) {
                transfer.remainingMillis -= millis / slowdown;
            }
            inTransit.stream().filter(Transfer::isComplete).forEach(arrived::add);
            inTransit.removeAll(arrived);
            completedCount += arrived.size();
            startWaiting(millis);
        }
        arrived.forEach(transfer -> transfer.completion.complete(null));
    }

    private void startWaiting(double millis) {
        availableStarts = Math.min(Math.max(1, loadsPerSecond), availableStarts + loadsPerSecond * millis / 1000);
        while (!waiting.isEmpty() && (loadsPerSecond == 0 || availableStarts >= 1)) {
            availableStarts--;
            inTransit.add(waiting.poll());
        }
        maximumInTransit = Math.max(maximumInTransit, inTransit.size());
    }

    /**
     * Gets the figures.
     *
     * @return the figures, not null
     */
    public synchronized Statistics statistics() {
        return new Statistics(waiting.size(), inTransit.size(), maximumInTransit, completedCount);
    }

    /**
     * Figures of the store.
     *
     * @param waiting transfers that have not begun
     * @param inTransit transfers begun
     * @param mostInTransit the most ever in transit
     * @param done transfers done
     */
    public record Statistics(int waiting, int inTransit, int mostInTransit, long done) {}

    private static final class Transfer {

        private final CompletableFuture<Void> completion = new CompletableFuture<>();
        private double remainingMillis;

        Transfer(double millisLeft) {
            this.remainingMillis = millisLeft;
        }

        boolean isComplete() {
            return remainingMillis <= 0;
        }
    }
}
