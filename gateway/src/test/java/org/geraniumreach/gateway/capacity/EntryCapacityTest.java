package org.geraniumreach.gateway.capacity;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryCapacityTest {

    private static final int TASKS = 4_000;
    private static final List<String> ENTRIES =
            IntStream.range(0, 20).mapToObj(number -> "entry-" + number).toList();

    private static String firstChoice(EntryCapacity capacity, String task) {
        return ENTRIES.stream()
                .min(Comparator.comparingDouble(entry -> capacity.rank(task, entry)))
                .orElseThrow();
    }

    private static Map<String, Integer> taskCounts(EntryCapacity capacity) {
        Map<String, Integer> counts = new HashMap<>();
        for (int task = 0; task < TASKS; task++) {
            counts.merge(firstChoice(capacity, "duty" + task), 1, Integer::sum);
        }
        return counts;
    }

    /** Guards against assigning tasks for all entries to those with little capacity. */
    @Test
    void tasksAreAssignedInProportionToCapacity() {
        Map<String, Integer> counts = taskCounts(entry -> entry.equals("entry-3") ? 5 : 1);
        assertThat(counts.get("entry-3")).isBetween(TASKS / 24 * 4, TASKS / 24 * 6);
        assertThat(counts.get("entry-4")).isBetween(TASKS / 48, TASKS / 12);
    }

    /** Guards against moving all tasks when one entry's capacity changes. */
    @Test
    void aLowerCapacityMovesOnlyTasksOfThatEntry() {
        EntryCapacity reduced = entry -> entry.equals("entry-3") ? 0.3 : 1;
        for (int task = 0; task < TASKS; task++) {
            String before = firstChoice(EntryCapacity.uniform(), "duty" + task);
            String after = firstChoice(reduced, "duty" + task);
            assertThat(after.equals(before) || before.equals("entry-3")).isTrue();
        }
    }
}
