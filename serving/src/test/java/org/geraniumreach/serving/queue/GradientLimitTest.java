package org.geraniumreach.serving.queue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class GradientLimitTest {

    private static final int SAMPLES = 3000;

    /* Up to the capacity each request slows the batch a little; beyond it requests queue inside the engine. */
    private static double nanosPerToken(int running, int capacity) {
        return 10e6 * (1 + 0.3 * running / capacity) * Math.max(1, (double) running / capacity);
    }

    @ParameterizedTest
    @CsvSource({"8, 4", "32, 4", "32, 120", "64, 16"})
    void limitConvergesBetweenTheCapacityAndTwiceTheCapacity(int capacity, int initialLimit) {
        GradientLimit limit = GradientLimit.create(1, initialLimit, 256, 1.5);
        for (int sample = 0; sample < SAMPLES; sample++) {
            limit.onSample(nanosPerToken(limit.limit(), capacity), limit.limit());
        }
        assertThat(limit.limit()).isBetween((int) (0.9 * capacity), 2 * capacity);
    }

    @Test
    void limitDoesNotGrowWhileMostOfItIsUnused() {
        GradientLimit limit = GradientLimit.create(1, 8, 256, 1.5);
        for (int sample = 0; sample < SAMPLES; sample++) {
            limit.onSample(10e6, 2);
        }
        assertThat(limit.limit()).isEqualTo(8);
    }

    @Test
    void limitFallsWhenLatencyRises() {
        GradientLimit limit = GradientLimit.create(1, 100, 256, 1.5);
        limit.onSample(10e6, 100);
        for (int sample = 0; sample < 100; sample++) {
            limit.onSample(100e6, limit.limit());
        }
        assertThat(limit.limit()).isLessThan(10);
    }
}
