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
    private static final Duration LOAD_TIME = Duration.ofMillis(250);
    private static final long OBJECTIVE_MILLIS = 500;

    private final LoadQueue queue = new LoadQueue();

    private static AdapterName name(int number) {
        return new AdapterName("base", "a" + number);
    }

    private static OptionalLong at(long millis) {
        return OptionalLong.of(millis * MILLI);
    }

    @Test
    void ordersByDeadlineThenLateRequestsThenThoseWithoutDeadline() {
        queue.enqueue(name(1), OptionalLong.empty(), 0);
        queue.enqueue(name(2), at(100), 0);
        queue.enqueue(name(3), at(900), 0);
        queue.enqueue(name(4), at(400), 0);
        assertThat(queue.byUrgency(0, LOAD_TIME)).containsExactly(name(4), name(3), name(2), name(1));
    }

    @Test
    void aNewerDeadlineReplacesOneThatHasPassed() {
        queue.enqueue(name(1), at(100), 0);
        queue.enqueue(name(2), at(700), 200 * MILLI);
        queue.enqueue(name(1), at(600), 200 * MILLI);
        assertThat(queue.byUrgency(200 * MILLI, LOAD_TIME)).containsExactly(name(1), name(2));
    }

    // For some seconds adapters are requested at 1.5 times the rate at which one target can fetch them. First in,
    // first out, soon hardly any request would meet its deadline; here only the excess is served late or not at
    // all.
    @Test
    void mostRequestsMeetTheirDeadlinesUnderOverload() {
        SplittableRandom random = new SplittableRandom(3);
        Deque<Integer> waiting = new ArrayDeque<>();
        Map<Integer, Long> requestedAt = new HashMap<>();
        int inTime = 0;
        int loads = 0;
        long loadedAt = 0;
        for (long now = 0; now < 20_000; now++) {
            if (random.nextInt(1_000) < 6) {
                waiting.add(requestedAt.size());
                requestedAt.put(requestedAt.size(), now);
            }
            renew(waiting, requestedAt, now);
            if (now >= loadedAt && !queue.isEmpty()) {
                List<AdapterName> order = queue.byUrgency(now * MILLI, LOAD_TIME);
                int loaded = Integer.parseInt(order.get(0).adapter().substring(1));
                queue.remove(order.get(0));
                waiting.remove(loaded);
                loadedAt = now + LOAD_TIME.toMillis();
                loads++;
                inTime += loadedAt - requestedAt.get(loaded) <= OBJECTIVE_MILLIS ? 1 : 0;
            }
        }
        assertThat(inTime).isGreaterThan(loads / 2);
    }

    /** Requests renew their load requests while they wait, and give up after two seconds. */
    private void renew(Deque<Integer> waiting, Map<Integer, Long> requestedAt, long now) {
        waiting.removeIf(number -> now - requestedAt.get(number) > 2_000);
        for (int number : waiting) {
            if ((now - requestedAt.get(number)) % 150 == 0) {
                queue.enqueue(name(number), at(requestedAt.get(number) + OBJECTIVE_MILLIS), now * MILLI);
            }
        }
    }
}
