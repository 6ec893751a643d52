package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class FetchWindowTest {

    private static final Duration FULL_SPEED = Duration.ofMillis(250);
    private static final int ORDER_SEEDS = 50;

    @Test
    void fetchesBeyondTheWindowMustWait() {
        FetchWindow window = new FetchWindow();
        int started = 0;
        while (window.isOpen()) {
            window.onFetchStarted();
            started++;
        }
        assertThat(started).isEqualTo(window.size());
        window.onFetchEnded(FULL_SPEED);
        assertThat(window.isOpen()).isTrue();
    }

    // An entry that claims a target does not know which adapters it can load from its own memory in 25 ms. If that
    // counted as the speed of the weight store, each fetch of 250 ms would seem slow and the window would stay at
    // one.
    @Test
    void loadsFromATargetsOwnMemoryDoNotMakeFetchesSeemSlow() {
        FetchWindow window = new FetchWindow();
        int initial = window.size();
        for (int round = 0; round < 100; round++) {
            window.onFetchStarted();
            window.onFetchEnded(Duration.ofMillis(round % 2 == 0 ? 25 : 250));
        }
        assertThat(window.size()).isGreaterThanOrEqualTo(initial);
    }

    @Test
    void aSlowWeightStoreNeverStopsFetches() {
        FetchWindow window = new FetchWindow();
        window.onFetchStarted();
        window.onFetchEnded(FULL_SPEED);
        for (int round = 1; round < 100; round++) {
            window.onFetchStarted();
            window.onFetchEnded(Duration.ofSeconds(10));
        }
        assertThat(window.isOpen()).isTrue();
    }

    /** Guards against entries that mistake the speed of a busy weight store for its full speed and slow all fetches. */
    @ParameterizedTest
    @CsvSource({"1, 8", "2, 8", "4, 8", "6, 8", "10, 24", "21, 24"})
    void entriesTogetherConvergeToTheCapacityOfTheWeightStore(int entries, int capacity) {
        for (int seed = 0; seed < ORDER_SEEDS; seed++) {
            SharedStore store = new SharedStore(entries, capacity, seed);
            store.run(20_000);
            int before = store.times.size();
            store.run(20_000);
            List<Long> times = store.times.subList(before, store.times.size()).stream()
                    .sorted()
                    .toList();
            assertThat(times.get(times.size() / 2))
                    .as("median in order %d", seed)
                    .isLessThan(3 * FULL_SPEED.toMillis());
            double fetchesAtCapacity = 20_000.0 / FULL_SPEED.toMillis() * capacity;
            assertThat((double) times.size()).isGreaterThan(0.9 * fetchesAtCapacity);
        }
    }

    /** Guards against windows that open at the same time when entries start together, so that no fetch shows the full speed. */
    @Test
    void manyEntriesThatStartTogetherDoNotOverloadTheWeightStore() {
        SharedStore store = new SharedStore(21, 24, 0);
        store.run(20_000);
        List<Long> times = store.times.stream().sorted().toList();
        assertThat(times.get(times.size() / 2)).isLessThan(2 * FULL_SPEED.toMillis());
    }

    // An entry that has been alone for a while has a large window, for example of nine fetches. It slows the first
    // fetches of entries that start later, whose windows would stay at one while their callers wait for seconds.
    @Test
    void entriesThatStartLaterGetAFairShareOfFetches() {
        SharedStore store = new SharedStore(1, 8, 0);
        store.run(5_000);
        for (int later = 0; later < 4; later++) {
            store.windows.add(new FetchWindow());
        }
        store.run(5_000);
        int largest = store.windows.stream().mapToInt(FetchWindow::size).max().orElseThrow();
        assertThat(store.windows).allSatisfy(window -> assertThat(window.size()).isGreaterThanOrEqualTo(largest / 2));
    }

    // A target that executes an order seconds late makes one fetch seem slow. If that closed the window, all
    // callers of rare adapters would wait.
    @Test
    void oneSlowFetchDoesNotCloseTheWindow() {
        FetchWindow window = new FetchWindow();
        for (int round = 0; round < 40; round++) {
            window.onFetchStarted();
            window.onFetchStarted();
            window.onFetchEnded(FULL_SPEED);
            window.onFetchEnded(FULL_SPEED);
        }
        int before = window.size();
        window.onFetchStarted();
        window.onFetchEnded(Duration.ofSeconds(3));
        window.onFetchStarted();
        window.onFetchEnded(FULL_SPEED);
        assertThat(window.size()).isGreaterThanOrEqualTo(before - 1);
    }

    /** Simulates a weight store from which several entries fetch as much as their windows allow. */
    private static final class SharedStore {
        private static final int STEP_MILLIS = 5;

        private final SplittableRandom random = new SplittableRandom(7);
        private final Random order;
        private final int capacity;
        private final List<FetchWindow> windows = new ArrayList<>();
        private final Set<Fetch> inFlight = new LinkedHashSet<>();
        private final List<Long> times = new ArrayList<>();
        private long nowMillis;

        private static final class Fetch {
            private final FetchWindow window;
            private final long startedAtMillis;
            private double remainingMillis = 250;

            private Fetch(FetchWindow window, long startedAtMillis) {
                this.window = window;
                this.startedAtMillis = startedAtMillis;
            }
        }

        /** The seed determines the order in which fetches of the same step end. */
        private SharedStore(int entries, int capacity, long seed) {
            this.capacity = capacity;
            this.order = new Random(seed);
            for (int entry = 0; entry < entries; entry++) {
                windows.add(new FetchWindow());
            }
        }

        private void run(long millis) {
            for (long endMillis = nowMillis + millis; nowMillis < endMillis; nowMillis += STEP_MILLIS) {
                windows.forEach(this::start);
                double speed = Math.min(1, (double) capacity / Math.max(1, inFlight.size()));
                inFlight.forEach(fetch -> fetch.remainingMillis -= STEP_MILLIS * speed);
                List<Fetch> done = new ArrayList<>(inFlight);
                done.removeIf(fetch -> fetch.remainingMillis > 0);
                Collections.shuffle(done, order);
                done.forEach(this::end);
            }
        }

        private void start(FetchWindow window) {
            while (window.isOpen()) {
                window.onFetchStarted();
                inFlight.add(new Fetch(window, nowMillis - random.nextInt(20)));
            }
        }

        private void end(Fetch fetch) {
            inFlight.remove(fetch);
            long fetchMillis = nowMillis - fetch.startedAtMillis;
            times.add(fetchMillis);
            fetch.window.onFetchEnded(Duration.ofMillis(fetchMillis));
        }
    }
}
