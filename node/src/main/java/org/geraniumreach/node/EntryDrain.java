package org.geraniumreach.node;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.geraniumreach.model.MonotonicClock;

/**
 * The order in which an entry that is to end lets go of its callers and its targets.
 *
 * <p>Invariants: the lease is given up once no request is open or the time is up, since targets would have nobody to load adapters for the seconds
 * in which its last order may still arrive, and at a restart of all entries in turn again and again; what comes meanwhile is refused and
 * answered before the process ends. Confined to the thread that runs it.
 */
final class EntryDrain {

    private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(3_500);

    /** Left for the end of the process itself. */
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
     * @param open gives the number of open requests, not null
     * @param release gives the lease up, and runs what it is given when the store has answered, not null
     * @param limit after what time the process is killed, not null
     * @param clock the clock, not null
     */
    EntryDrain(IntSupplier open, Consumer<Runnable> release, Duration limit, MonotonicClock clock) {
        this.openRequests = Objects.requireNonNull(open, "open");
        this.releaseLease = Objects.requireNonNull(release, "release");
        this.maxDuration = limit.minus(EXIT_MARGIN);
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Drains, and returns when the process may end.
     *
     * @param begin told at the beginning after what time it ends at the latest, not null
     * @param close run when nothing more is to be taken, not null
     * @param released told whether the store has answered the release in time, not null
     */
    void run(Consumer<Duration> begin, Runnable close, Consumer<Boolean> released) {
        long begunAt = clock.nanos();
        begin.accept(maxDuration);
        try {
            awaitIdle(begunAt);
            close.run();
            CountDownLatch answered = new CountDownLatch(1);
            releaseLease.accept(answered::countDown);
            released.accept(answered.await(LEASE_RELEASE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
            awaitIdle(begunAt);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitIdle(long begunAt) throws InterruptedException {
        while (true) {
            Duration passed = Duration.ofNanos(clock.nanos() - begunAt);
            boolean quiet = openRequests.getAsInt() == 0 && passed.compareTo(MIN_DRAIN_TIME) >= 0;
            if (quiet || passed.compareTo(maxDuration) >= 0) {
                return;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }
}
