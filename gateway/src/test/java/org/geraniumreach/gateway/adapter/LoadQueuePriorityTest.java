package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.AccountId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the order of loads that requests with a priority wait for. */
class LoadQueuePriorityTest {

    private static final long MILLI = 1_000_000;
    private static final Duration LOAD_TIME = Duration.ofMillis(250);

    private final LoadQueue queue = new LoadQueue();

    private static AdapterName name(int number) {
        return new AdapterName("base", "a" + number);
    }

    private void enqueue(int number, long deadlineMillis, int urgency, String account) {
        queue.enqueue(
                name(number),
                OptionalLong.of(deadlineMillis * MILLI),
                Optional.of(new RequestPriority(urgency, Optional.of(AccountId.of(account)), 1)),
                0);
    }

    private AdapterName startNext() {
        AdapterName next = queue.byUrgency(0, LOAD_TIME).get(0);
        queue.recordStart(next, 0);
        queue.remove(next);
        return next;
    }

    /** Guards against urgent requests that wait for the loads of others with earlier deadlines. */
    @Test
    void ordersByUrgencyThenDeadlineMetThenUsageThenDeadline() {
        enqueue(0, 300, 0, "busy");
        assertThat(startNext()).isEqualTo(name(0));
        queue.enqueue(name(1), OptionalLong.empty(), 0);
        queue.enqueue(name(2), OptionalLong.of(300 * MILLI), 0);
        enqueue(3, 300, 1, "busy");
        enqueue(4, 900, 1, "idle");
        enqueue(5, 800, 1, "other");
        enqueue(6, 100, 1, "late");
        enqueue(7, 900, 0, "busy");
        assertThat(queue.byUrgency(0, LOAD_TIME))
                .containsExactly(name(7), name(5), name(4), name(3), name(6), name(2), name(1));
    }

    @Test
    void aMoreUrgentRequestForTheSameAdapterRaisesItsPriority() {
        enqueue(1, 800, 2, "a");
        enqueue(2, 300, 1, "b");
        enqueue(1, 800, 0, "c");
        queue.enqueue(name(1), OptionalLong.of(800 * MILLI), 0);
        assertThat(queue.byUrgency(0, LOAD_TIME)).containsExactly(name(1), name(2));
    }

    /** Guards against less urgent requests whose adapters are never loaded. */
    @Test
    void aTenthOfTheLoadsIsForLessUrgentRequests() {
        for (int number = 0; number < 60; number++) {
            enqueue(number, 900, number < 50 ? 0 : 2, "a" + number);
        }
        List<AdapterName> started = new ArrayList<>();
        for (int load = 0; load < 40; load++) {
            started.add(startNext());
        }
        assertThat(started)
                .filteredOn(adapter -> Integer.parseInt(adapter.adapter().substring(1)) >= 50)
                .hasSizeBetween(3, 4);
    }

    /** Guards against one account whose loads delay all others, and against a load that is counted for each repeated order. */
    @Test
    void accountsTakeTurns() {
        for (int number = 0; number < 6; number++) {
            enqueue(number, 300 + number, 0, "hot");
        }
        enqueue(6, 900, 0, "cool");
        assertThat(startNext()).isEqualTo(name(0));
        assertThat(startNext()).isEqualTo(name(6));
        queue.recordStart(name(1), 0);
        queue.recordStart(name(1), 0);
        enqueue(7, 900, 0, "cool");
        enqueue(8, 901, 0, "cool");
        assertThat(queue.byUrgency(0, LOAD_TIME).subList(0, 4)).containsExactly(name(1), name(7), name(2), name(8));
    }
}
