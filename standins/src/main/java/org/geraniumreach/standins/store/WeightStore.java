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
 * Simulates adapter transfers that share a limited bandwidth and start at a limited rate.
 *
 * <p>Up to a set number of concurrent transfers run at full speed; beyond it, all slow down in proportion. Transfers
 * above the start rate wait in first-in, first-out order. Invariant: each transfer is completed once. Safe for use by
 * several threads, under one lock.
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
     * Creates a store and starts its periodic task.
     *
     * @param loadsPerSecond the maximum rate at which transfers start, 0 for no limit
     * @param fullSpeedMillis the duration of a transfer at full speed, in milliseconds
     * @param fullSpeedCount the maximum number of concurrent transfers at full speed
     * @param timer advances the transfers, not null
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
     * Queues a transfer.
     *
     * @return a stage that completes when the transfer is complete, not null
     */
    public synchronized CompletionStage<Void> startTransfer() {
        Transfer transfer = new Transfer(fullSpeedMillis);
        waiting.add(transfer);
        return transfer.completion;
    }

    private void advanceTransfers() {
        List<Transfer> completed = new ArrayList<>();
        synchronized (this) {
            long nowNanos = System.nanoTime();
            double elapsedMillis = (nowNanos - lastNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
            lastNanos = nowNanos;
            double slowdown = Math.max(1, inTransit.size() / (double) fullSpeedCount);
            for (Transfer transfer : inTransit) {
                transfer.remainingMillis -= elapsedMillis / slowdown;
            }
            inTransit.stream().filter(Transfer::isComplete).forEach(completed::add);
            inTransit.removeAll(completed);
            completedCount += completed.size();
            startWaiting(elapsedMillis);
        }
        completed.forEach(transfer -> transfer.completion.complete(null));
    }

    private void startWaiting(double elapsedMillis) {
        availableStarts =
                Math.min(Math.max(1, loadsPerSecond), availableStarts + loadsPerSecond * elapsedMillis / 1000);
        while (!waiting.isEmpty() && (loadsPerSecond == 0 || availableStarts >= 1)) {
            availableStarts--;
            inTransit.add(waiting.poll());
        }
        maximumInTransit = Math.max(maximumInTransit, inTransit.size());
    }

    /**
     * Returns the current statistics.
     *
     * @return the statistics, not null
     */
    public synchronized Statistics statistics() {
        return new Statistics(waiting.size(), inTransit.size(), maximumInTransit, completedCount);
    }

    /**
     * The statistics of the store.
     *
     * @param waiting the number of transfers that have not started
     * @param inTransit the number of transfers in progress
     * @param mostInTransit the maximum number of transfers in progress so far
     * @param done the number of completed transfers
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
