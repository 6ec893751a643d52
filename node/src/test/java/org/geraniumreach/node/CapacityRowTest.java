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

    /** Guards against an entry that takes all duties, or none, for a row that another writer has damaged. */
    @ParameterizedTest
    @ValueSource(strings = {"", "0", "-1", "NaN", "Infinity", "much"})
    void invalidCapacityTextIsIgnored(String text) {
        assertThat(CapacityRow.parse(text)).isEmpty();
    }
}
