package org.geraniumreach.gateway.quota;

import java.util.List;
import java.util.stream.IntStream;

import org.geraniumreach.gateway.capacity.EntryCapacity;
import org.geraniumreach.model.AccountId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ShareHoldersTest {

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 4, 5, 33, 340})
    void entriesAgreeOnAtMostTwoHolders(int count) {
        List<String> entries =
                IntStream.range(0, count).mapToObj(number -> "entry-" + number).toList();
        long holders = entries.stream()
                .filter(entry -> ShareHolders.isHolder(AccountId.of("acme"), entry, entries, EntryCapacity.uniform()))
                .count();
        assertThat(holders).isEqualTo(Math.min(2, count));
    }
}
