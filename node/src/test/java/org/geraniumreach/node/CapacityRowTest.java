package org.geraniumreach.node;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CapacityRowTest {

    @Test
    void readsBackWrittenKeyAndCapacity() {
        assertThat(CapacityRow.parse(CapacityRow.toText(0.27))).contains(0.27);
        assertThat(CapacityRow.instance(CapacityRow.key("fleet", "edge-1").key()))
                .isEqualTo("edge-1");
    }

    /** A corrupted row must not make an entry take all the work or none. */
    @ParameterizedTest
    @ValueSource(strings = {"", "0", "-1", "NaN", "Infinity", "much"})
    void invalidCapacityTextIsIgnored(String text) {
        assertThat(CapacityRow.parse(text)).isEmpty();
    }
}
