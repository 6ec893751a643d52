package org.geraniumreach.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.model.MonotonicClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryDrainTest {

    private static final Duration KILL_TIMEOUT = Duration.ofSeconds(8);

    /** Guards against a process that exits while a request that arrived during the lease release is still open. */
    @Test
    void requestArrivingDuringLeaseReleaseIsAnsweredBeforeDrainReturns() {
        List<String> events = new ArrayList<>();
        AtomicInteger open = new AtomicInteger();
        MonotonicClock fastClock = new MonotonicClock() {
            private final long startedAt = System.nanoTime();

            @Override
            public long nanos() {
                return (System.nanoTime() - startedAt) * 20;
            }
        };
        EntryDrain drain = new EntryDrain(
                new EntryDrain.Callers() {
                    @Override
                    public int openRequests() {
                        int count = open.get();
                        if (count > 0) {
                            events.add("answered");
                            open.decrementAndGet();
                        }
                        return count;
                    }

                    @Override
                    public CompletableFuture<Integer> closeIdleConnections() {
                        return CompletableFuture.completedFuture(openRequests());
                    }
                },
                onReleased -> {
                    events.add("released");
                    open.incrementAndGet();
                    onReleased.run();
                },
                KILL_TIMEOUT,
                fastClock);
        drain.run(
                maxDuration -> events.add("began"),
                () -> events.add("closed"),
                () -> events.add("cut"),
                answered -> assertThat(answered).isTrue());
        assertThat(events).containsExactly("began", "closed", "released", "answered");
        assertThat(open).hasValue(0);
    }

    /** Guards against a process that exits with open requests which got no answer. */
    @Test
    void requestsThatAreOpenWhenTheTimeIsUpAreEndedOnceAndBeforeTheLeaseIsReleased() {
        List<String> events = new ArrayList<>();
        AtomicInteger open = new AtomicInteger(1);
        EntryDrain drain = new EntryDrain(
                new EntryDrain.Callers() {
                    @Override
                    public int openRequests() {
                        return open.get();
                    }

                    @Override
                    public CompletableFuture<Integer> closeIdleConnections() {
                        return CompletableFuture.completedFuture(open.get());
                    }
                },
                onReleased -> {
                    events.add("released");
                    onReleased.run();
                },
                Duration.ofMillis(1_200),
                MonotonicClock.system());
        drain.run(maxDuration -> {}, () -> events.add("closed"), () -> events.add("ended"), released -> {});
        assertThat(events).containsExactly("closed", "ended", "released");
    }
}
