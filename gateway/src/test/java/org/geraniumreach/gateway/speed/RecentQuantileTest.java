package org.geraniumreach.gateway.speed;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

class RecentQuantileTest {

    @ParameterizedTest
    @CsvSource({"0, 1", "0.5, 3", "0.95, 4", "1, 5"})
    void theQuantileIsOneOfTheNumbers(double quantile, double expected) {
        RecentQuantile recent = new RecentQuantile(quantile, 5);
        for (double value : new double[] {5, 1, 4, 2, 3}) {
            recent.add(value);
        }
        assertThat(recent.get()).isEqualTo(expected);
    }

    /** Guards against numbers that count for ever, and against a quantile that is not computed again. */
    @Test
    void onlyTheLatestNumbersCount() {
        RecentQuantile recent = new RecentQuantile(1, 2);
        recent.add(9);
        assertThat(recent.get()).isEqualTo(9);
        recent.add(1);
        assertThat(recent.get()).isEqualTo(9);
        recent.add(2);
        assertThat(recent.get()).isEqualTo(2);
        assertThat(recent.size()).isEqualTo(2);
    }

    @Test
    void thereIsNoQuantileOfNoNumbers() {
        assertThatIllegalStateException().isThrownBy(() -> new RecentQuantile(0.5, 2).get());
    }
}
