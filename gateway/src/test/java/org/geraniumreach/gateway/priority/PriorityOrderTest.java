package org.geraniumreach.gateway.priority;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.priority.PriorityOrder.Candidate;
import org.geraniumreach.gateway.priority.PriorityOrder.Selection;
import org.geraniumreach.model.AccountId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class PriorityOrderTest {

    private static final long MILLI = 1_000_000;

    private final PriorityOrder order = new PriorityOrder(1);

    private static Candidate<Integer> candidate(int item, int urgency, String account, double weight) {
        RequestPriority priority = new RequestPriority(urgency, Optional.of(AccountId.of(account)), weight);
        return new Candidate<>(item, priority, true, 0, 1);
    }

    /** Guards against a least urgent class that gets nothing while two more urgent ones ask for everything. */
    @Test
    void theLessUrgentClassesShareATenth() {
        List<Candidate<Integer>> waiting =
                List.of(candidate(0, 0, "a", 1), candidate(1, 1, "a", 1), candidate(2, 2, "a", 1));
        double[] started = new double[3];
        for (int start = 0; start < 1_000; start++) {
            Candidate<Integer> next =
                    order.select(waiting, start * MILLI).next().orElseThrow();
            order.recordStart(next, 0, start * MILLI);
            started[next.item()]++;
        }
        assertThat(started[1] + started[2]).isCloseTo(100, within(1.0));
        assertThat(started[1]).isCloseTo(started[2], within(2.0));
    }

    /** Guards against shares that do not follow the configured rates. */
    @Test
    void accountsOfOneClassShareByWeight() {
        List<Candidate<Integer>> waiting = List.of(candidate(0, 0, "a", 3), candidate(1, 0, "b", 1));
        double[] started = new double[2];
        for (int start = 0; start < 1_000; start++) {
            Candidate<Integer> next =
                    order.select(waiting, start * MILLI).next().orElseThrow();
            order.recordStart(next, 0, start * MILLI);
            started[next.item()]++;
        }
        assertThat(started[0]).isCloseTo(750, within(10.0));
    }

    /** Guards against expected delays of an order other than the one in which requests start. */
    @Property(tries = 100)
    void theSelectionForeseesTheStarts(@ForAll long seed) {
        Random random = new Random(seed);
        PriorityOrder actual = new PriorityOrder(1);
        List<Candidate<Integer>> waiting = new ArrayList<>();
        for (int item = 0; item < 30; item++) {
            waiting.add(candidate(item, random.nextInt(3), "a" + random.nextInt(4), 1));
        }
        Selection<Integer> selection = actual.select(waiting, 0);
        for (int start = 0; start < 30; start++) {
            Candidate<Integer> next = actual.select(waiting, 0).next().orElseThrow();
            assertThat(selection.next()).contains(next);
            selection.start(next);
            int mostUrgent = waiting.stream()
                    .mapToInt(candidate -> candidate.priority().urgency())
                    .min()
                    .orElseThrow();
            actual.recordStart(next, mostUrgent, 0);
            waiting.remove(next);
        }
    }
}
