package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.geraniumreach.gateway.traffic.AdapterName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LoadQueueTest {

    private static final long MILLI = 1_000_000;
    private static final Duration LOAD = Duration.ofMillis(250);
    private static final long OBJECTIVE_MILLIS = 500;

    private final LoadQueue queue = new LoadQueue();

    private static AdapterName name(int number) {
        return new AdapterName("base", "a" + number);
    }

    private static OptionalLong at(long millis) {
        return OptionalLong.of(millis * MILLI);
    }

    @Test
    void whatIsDueSoonestGoesFirstThenWhatIsLateThenWhatNobodyWaitsFor() {
        queue.enqueue(name(1), OptionalLong.empty(), 0);
        queue.enqueue(name(2), at(100), 0);
        queue.enqueue(name(3), at(900), 0);
        queue.enqueue(name(4), at(400), 0);
        assertThat(queue.byUrgency(0, LOAD)).containsExactly(name(4), name(3), name(2), name(1));
    }

    @Test
    void aNewerRequestInTimeRevivesAWishWhoseFirstRequestIsLate() {
        queue.enqueue(name(1), at(100), 0);
        queue.enqueue(name(2), at(700), 200 * MILLI);
        queue.enqueue(name(1), at(600), 200 * MILLI);
        assertThat(queue.byUrgency(200 * MILLI, LOAD)).containsExactly(name(1), name(2));
    }

    // For some seconds adapters are asked for half as often again as one target can fetch them. In the order of their
    // coming, hardly any request was in time after the first moments; here most of those that can be are, as the part
    // that is served late or not at all is what is too much.
    @Test
    void mostRequestsAreInTimeWhileMoreIsAskedForThanCanBeLoaded() {
        SplittableRandom random = new SplittableRandom(3);
        Deque<Integer> asking = new ArrayDeque<>();
        Map<Integer, Long> askedAt = new HashMap<>();
        int inTime = 0;
        int loads = 0;
        long loadedAt = 0;
        for (long now = 0; now < 20_000; now++) {
            if (random.nextInt(1_000) < 6) {
                asking.add(askedAt.size());
                askedAt.put(askedAt.size(), now);
            }
            renew(asking, askedAt, now);
            if (now >= loadedAt && !queue.isEmpty()) {
                List<AdapterName> order = queue.byUrgency(now * MILLI, LOAD);
                int loaded = Integer.parseInt(order.get(0).adapter().substring(1));
                queue.remove(order.get(0));
                asking.remove(loaded);
                loadedAt = now + LOAD.toMillis();
                loads++;
                inTime += loadedAt - askedAt.get(loaded) <= OBJECTIVE_MILLIS ? 1 : 0;
            }
        }
        assertThat(inTime).isGreaterThan(loads / 2);
    }

    /** Requests ask again while they wait, and give up after two seconds. */
    private void renew(Deque<Integer> asking, Map<Integer, Long> askedAt, long now) {
        asking.removeIf(each -> now - askedAt.get(each) > 2_000);
        for (int each : asking) {
            if ((now - askedAt.get(each)) % 150 == 0) {
                queue.enqueue(name(each), at(askedAt.get(each) + OBJECTIVE_MILLIS), now * MILLI);
            }
        }
    }
}
