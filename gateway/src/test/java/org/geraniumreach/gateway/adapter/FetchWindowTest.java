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
    private static final int ORDERS = 50;

    @Test
    void fetchesBeyondTheWindowMustWait() {
        FetchWindow window = new FetchWindow();
        int begun = 0;
        while (window.isOpen()) {
            window.onFetchStarted();
            begun++;
        }
        assertThat(begun).isEqualTo(window.size());
        window.onFetchEnded(FULL_SPEED);
        assertThat(window.isOpen()).isTrue();
    }

    // The entry has taken targets over and does not know what they keep in memory; adapters come back in 25 ms. Were
    // that taken for the weight store's speed, each fetch of 250 ms would seem slow, and the window stay at one.
    @Test
    void loadsFromATargetsOwnMemoryDoNotMakeFetchesSeemSlow() {
        FetchWindow window = new FetchWindow();
        int first = window.size();
        for (int round = 0; round < 100; round++) {
            window.onFetchStarted();
            window.onFetchEnded(Duration.ofMillis(round % 2 == 0 ? 25 : 250));
        }
        assertThat(window.size()).isGreaterThanOrEqualTo(first);
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

    /** Guards against fetches that are slowed for all callers because entries take a busy weight store's speed for its full speed. */
    @ParameterizedTest
    @CsvSource({"1, 8", "2, 8", "4, 8", "6, 8", "10, 24", "21, 24"})
    void entriesTogetherFetchAboutAsManyAsTheWeightStoreServesAtFullSpeed(int entries, int atFullSpeed) {
        for (int order = 0; order < ORDERS; order++) {
            SharedStore store = new SharedStore(entries, atFullSpeed, order);
            store.play(20_000);
            int before = store.times.size();
            store.play(20_000);
            List<Long> times = store.times.subList(before, store.times.size()).stream()
                    .sorted()
                    .toList();
            assertThat(times.get(times.size() / 2))
                    .as("median in order %d", order)
                    .isLessThan(3 * FULL_SPEED.toMillis());
            double fullyUsed = 20_000.0 / FULL_SPEED.toMillis() * atFullSpeed;
            assertThat((double) times.size()).isGreaterThan(0.9 * fullyUsed);
        }
    }

    /** Guards against windows that all open at once when entries start together, so that no fetch ever shows the full speed. */
    @Test
    void manyEntriesThatStartTogetherHardlySlowTheWeightStore() {
        SharedStore store = new SharedStore(21, 24, 0);
        store.play(20_000);
        List<Long> times = store.times.stream().sorted().toList();
        assertThat(times.get(times.size() / 2)).isLessThan(2 * FULL_SPEED.toMillis());
    }

    // Callers whose adapters are ordered by one entry waited for seconds, while another entry had nine fetches under
    // way:
    // it had been alone for a while, the others' first fetches were slow for its sake, and their windows stayed at one.
    // Entries that come later must get about as much as the one that was there before.
    @Test
    void anEntryThatComesLaterGetsAboutAsManyFetchesAsTheOthers() {
        SharedStore store = new SharedStore(1, 8, 0);
        store.play(5_000);
        for (int later = 0; later < 4; later++) {
            store.windows.add(new FetchWindow());
        }
        store.play(5_000);
        int most = store.windows.stream().mapToInt(FetchWindow::size).max().orElseThrow();
        assertThat(store.windows).allSatisfy(window -> assertThat(window.size()).isGreaterThanOrEqualTo(most / 2));
    }

    // All callers of rare adapters waited for one target that carried an order out seconds late: its fetch seemed to
    // show a
    // slow weight store, and the window shut. One slow fetch among many tells of its target.
    @Test
    void oneSlowFetchDoesNotShutTheWindow() {
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

    /** A weight store that several entries fetch from, as much as their windows let them. */
    private static final class SharedStore {
        private static final int STEP_MILLIS = 5;

        private final SplittableRandom random = new SplittableRandom(7);
        private final Random order;
        private final int atFullSpeed;
        private final List<FetchWindow> windows = new ArrayList<>();
        private final Set<Fetch> underWay = new LinkedHashSet<>();
        private final List<Long> times = new ArrayList<>();
        private long nowMillis;

        private static final class Fetch {
            private final FetchWindow window;
            private final long begunMillis;
            private double leftMillis = 250;

            private Fetch(FetchWindow window, long begunMillis) {
                this.window = window;
                this.begunMillis = begunMillis;
            }
        }

        /** Fetches that end in the same step are told in an order of their own for each seed. */
        private SharedStore(int entries, int atFullSpeed, long seed) {
            this.atFullSpeed = atFullSpeed;
            this.order = new Random(seed);
            for (int entry = 0; entry < entries; entry++) {
                windows.add(new FetchWindow());
            }
        }

        private void play(long millis) {
            for (long until = nowMillis + millis; nowMillis < until; nowMillis += STEP_MILLIS) {
                windows.forEach(this::begin);
                double speed = Math.min(1, (double) atFullSpeed / Math.max(1, underWay.size()));
                underWay.forEach(fetch -> fetch.leftMillis -= STEP_MILLIS * speed);
                List<Fetch> done = new ArrayList<>(underWay);
                done.removeIf(fetch -> fetch.leftMillis > 0);
                Collections.shuffle(done, order);
                done.forEach(this::end);
            }
        }

        private void begin(FetchWindow window) {
            while (window.isOpen()) {
                window.onFetchStarted();
                underWay.add(new Fetch(window, nowMillis - random.nextInt(20)));
            }
        }

        private void end(Fetch fetch) {
            underWay.remove(fetch);
            long took = nowMillis - fetch.begunMillis;
            times.add(took);
            fetch.window.onFetchEnded(Duration.ofMillis(took));
        }
    }
}
