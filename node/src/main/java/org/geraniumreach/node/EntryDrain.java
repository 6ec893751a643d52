package org.geraniumreach.node;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.geraniumreach.model.MonotonicClock;

/**
 * Drains an entry before its process exits: waits for open requests, then releases the lease.
 *
 * <p>Invariants: the lease is released only when no request is open or the time is up, because after a release nobody can load adapters
 * at the entry's targets for the seconds in which its last order may still arrive, and a rolling restart would repeat that for each
 * entry; requests that arrive during the release are refused, and answered before the process exits. Confined to the calling thread.
 */
final class EntryDrain {

    private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(3_500);

    /** Time reserved for the exit of the process itself. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(900);

    private static final Duration LEASE_RELEASE_TIMEOUT = Duration.ofMillis(300);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final IntSupplier openRequests;
    private final Consumer<Runnable> releaseLease;
    private final Duration maxDuration;
    private final MonotonicClock clock;

    /**
     * Creates a drain.
     *
     * @param openRequests supplies the number of open requests, not null
     * @param releaseLease releases the lease and runs the given callback when the store has answered, not null
     * @param killTimeout the time after which the process is killed, not null
     * @param clock the clock, not null
     */
    EntryDrain(IntSupplier openRequests, Consumer<Runnable> releaseLease, Duration killTimeout, MonotonicClock clock) {
        this.openRequests = Objects.requireNonNull(openRequests, "openRequests");
        this.releaseLease = Objects.requireNonNull(releaseLease, "releaseLease");
        this.maxDuration = killTimeout.minus(EXIT_MARGIN);
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Drains the entry, and returns when the process may exit.
     *
     * @param onStart called first, with the maximum duration of the drain, not null
     * @param stopAccepting called before the lease is released, to refuse further requests, not null
     * @param onReleased called with whether the store has answered the release in time, not null
     */
    void run(Consumer<Duration> onStart, Runnable stopAccepting, Consumer<Boolean> onReleased) {
        long startedAt = clock.nanos();
        onStart.accept(maxDuration);
        try {
            awaitIdle(startedAt);
            stopAccepting.run();
            CountDownLatch answered = new CountDownLatch(1);
            releaseLease.accept(answered::countDown);
            onReleased.accept(answered.await(LEASE_RELEASE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
            awaitIdle(startedAt);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitIdle(long startedAt) throws InterruptedException {
        while (true) {
            Duration elapsed = Duration.ofNanos(clock.nanos() - startedAt);
            boolean idle = openRequests.getAsInt() == 0 && elapsed.compareTo(MIN_DRAIN_TIME) >= 0;
            if (idle || elapsed.compareTo(maxDuration) >= 0) {
                return;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }
}
