package org.geraniumreach.node;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import org.geraniumreach.model.MonotonicClock;

/**
 * Drains an entry before its process exits: waits for open requests, ends those that remain when the time is up, then releases the lease and
 * closes the connections of callers.
 *
 * <p>Invariants: the lease is released only when no request is open or the time is up, because after a release nobody can load adapters
 * at the entry's targets for the seconds in which its last order may still arrive, and a rolling restart would repeat that for each
 * entry; requests that arrive during the release are refused, and answered before the process exits; unless the time is up, no connection
 * of a caller is open at the end, so no request is read that the process cannot answer. Confined to the calling thread.
 */
final class EntryDrain {

    private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(3_500);

    /** Time reserved for the exit of the process itself. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(900);

    private static final Duration LEASE_RELEASE_TIMEOUT = Duration.ofMillis(300);

    /** Time for closing the connections after the maximum duration, enough to refuse what is read last; includes the lease release. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(200);

    private static final Duration CLOSE_POLL_INTERVAL = Duration.ofMillis(20);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final Callers callers;
    private final Consumer<Runnable> releaseLease;
    private final Duration maxDuration;
    private final MonotonicClock clock;
    private long startedAt;
    private boolean requestsEnded;

    /** The requests and connections of callers. */
    interface Callers {

        /** Gets the number of requests being read or answered. */
        int openRequests();

        /** Accepts no more connections, closes the idle ones, and completes with the number of those still open. */
        CompletableFuture<Integer> closeIdleConnections();
    }

    /**
     * Creates a drain.
     *
     * @param callers the requests and connections of callers, not null
     * @param releaseLease releases the lease and runs the given callback when the store has answered, not null
     * @param killTimeout the time after which the process is killed, not null
     * @param clock the clock, not null
     */
    EntryDrain(Callers callers, Consumer<Runnable> releaseLease, Duration killTimeout, MonotonicClock clock) {
        this.callers = Objects.requireNonNull(callers, "callers");
        this.releaseLease = Objects.requireNonNull(releaseLease, "releaseLease");
        this.maxDuration = killTimeout.minus(EXIT_MARGIN);
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Drains the entry, and returns when the process may exit.
     *
     * @param onStart called first, with the maximum duration of the drain, not null
     * @param stopAccepting called before the lease is released, to refuse further requests, not null
     * @param endRequests called when the time is up, to end the requests that are still open, not null
     * @param onReleased called with whether the store has answered the release in time, not null
     */
    void run(Consumer<Duration> onStart, Runnable stopAccepting, Runnable endRequests, Consumer<Boolean> onReleased) {
        startedAt = clock.nanos();
        onStart.accept(maxDuration);
        try {
            awaitIdle();
            stopAccepting.run();
            endRequestsIfTimeIsUp(endRequests);
            callers.closeIdleConnections();
            CountDownLatch answered = new CountDownLatch(1);
            releaseLease.accept(answered::countDown);
            onReleased.accept(answered.await(LEASE_RELEASE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
            awaitConnectionsClosed(endRequests);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitIdle() throws InterruptedException {
        while (true) {
            boolean idle = callers.openRequests() == 0 && elapsed().compareTo(MIN_DRAIN_TIME) >= 0;
            if (idle || isTimeUp()) {
                return;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    private void endRequestsIfTimeIsUp(Runnable endRequests) {
        if (!requestsEnded && isTimeUp()) {
            requestsEnded = true;
            endRequests.run();
        }
    }

    private boolean isTimeUp() {
        return elapsed().compareTo(maxDuration) >= 0;
    }

    private Duration elapsed() {
        return Duration.ofNanos(clock.nanos() - startedAt);
    }

    private void awaitConnectionsClosed(Runnable endRequests) throws InterruptedException {
        Duration limit = maxDuration.plus(CLOSE_TIMEOUT);
        while (!areConnectionsClosed() && elapsed().compareTo(limit) < 0) {
            endRequestsIfTimeIsUp(endRequests);
            Thread.sleep(CLOSE_POLL_INTERVAL.toMillis());
        }
    }

    private boolean areConnectionsClosed() throws InterruptedException {
        try {
            int open = callers.closeIdleConnections().get(CLOSE_POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            return open == 0;
        } catch (ExecutionException | TimeoutException unknown) {
            return false;
        }
    }
}
