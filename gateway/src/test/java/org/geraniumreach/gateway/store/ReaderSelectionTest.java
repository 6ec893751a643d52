package org.geraniumreach.gateway.store;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.geraniumreach.gateway.capacity.EntryCapacity;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ReaderSelectionTest {

    private static List<String> entries(int count) {
        return IntStream.range(0, count).mapToObj(number -> "entry-" + number).toList();
    }

    private static List<String> readers(List<String> entries) {
        return entries.stream()
                .filter(self -> {
                    List<String> others = new ArrayList<>(entries);
                    others.remove(self);
                    return ReaderSelection.isReader(self, others, EntryCapacity.uniform());
                })
                .toList();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 8, 57, 340})
    void failureDomainHasAtMostTwoReaders(int count) {
        assertThat(readers(entries(count))).hasSize(Math.min(2, count));
    }

    /** Guards against replacing all readers when one of them is lost. */
    @Test
    void lossOfAReaderReplacesOnlyThatReader() {
        List<String> entries = new ArrayList<>(entries(9));
        List<String> before = readers(entries);
        entries.remove(before.get(0));
        assertThat(readers(entries)).hasSize(2).contains(before.get(1));
    }

    /** Guards against no entry reading while links are missing. */
    @Test
    void entryWithoutLinksIsAReader() {
        assertThat(ReaderSelection.isReader("entry-1", List.of(), EntryCapacity.uniform()))
                .isTrue();
    }

    /** Guards against readers that cannot publish what they read because their processors or links are too slow. */
    @Test
    void entriesWithTheHighestCapacityAreReaders() {
        List<String> entries = entries(12);
        EntryCapacity capacity = entry -> entry.equals("entry-1") || entry.equals("entry-2") ? 1_000 : 1;
        List<String> readers = entries.stream()
                .filter(self -> {
                    List<String> others = new ArrayList<>(entries);
                    others.remove(self);
                    return ReaderSelection.isReader(self, others, capacity);
                })
                .toList();
        assertThat(readers).containsExactlyInAnyOrder("entry-1", "entry-2");
    }
}
