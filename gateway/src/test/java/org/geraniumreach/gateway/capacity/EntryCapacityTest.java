package org.geraniumreach.gateway.capacity;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryCapacityTest {

    private static final int DUTIES = 4_000;
    private static final List<String> ENTRIES =
            IntStream.range(0, 20).mapToObj(number -> "entry-" + number).toList();

    private static String first(EntryCapacity capacity, String duty) {
        return ENTRIES.stream()
                .min(Comparator.comparingDouble(entry -> capacity.rank(duty, entry)))
                .orElseThrow();
    }

    private static Map<String, Integer> duties(EntryCapacity capacity) {
        Map<String, Integer> duties = new HashMap<>();
        for (int duty = 0; duty < DUTIES; duty++) {
            duties.merge(first(capacity, "duty" + duty), 1, Integer::sum);
        }
        return duties;
    }

    /** Guards against duties for all entries that are given to those that can hardly serve their own callers. */
    @Test
    void entriesHaveDutiesInProportionToTheirCapacity() {
        Map<String, Integer> duties = duties(entry -> entry.equals("entry-3") ? 5 : 1);
        assertThat(duties.get("entry-3")).isBetween(DUTIES / 24 * 4, DUTIES / 24 * 6);
        assertThat(duties.get("entry-4")).isBetween(DUTIES / 48, DUTIES / 12);
    }

    /** Guards against all duties moving because one entry's capacity changes. */
    @Test
    void aChangeOfOneEntrysCapacityMovesOnlyItsOwnDuties() {
        EntryCapacity less = entry -> entry.equals("entry-3") ? 0.3 : 1;
        for (int duty = 0; duty < DUTIES; duty++) {
            String before = first(EntryCapacity.alike(), "duty" + duty);
            String after = first(less, "duty" + duty);
            assertThat(after.equals(before) || before.equals("entry-3")).isTrue();
        }
    }
}
