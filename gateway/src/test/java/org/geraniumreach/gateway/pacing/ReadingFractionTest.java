package org.geraniumreach.gateway.pacing;

import org.geraniumreach.gateway.admission.PromptPacer;
import org.geraniumreach.gateway.speed.TargetSpeed;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ReadingFractionTest {

    private static final double PAUSE_MILLIS = 300;
    private static final double STEPS_MILLIS = 4 * 8.2;

    /** Guards against prompts that leave the steps between two events no time at a slow target. */
    @ParameterizedTest
    @CsvSource({"0.6, 1", "1, 1", "1.6, 1", "0.6, 2.5", "1, 2.5", "1.6, 2.5"})
    void readingAndTheStepsOfAnEventFitIntoTheAcceptedPause(double relativeRate, double slowdown) {
        TargetSpeed speed = new TargetSpeed(relativeRate, slowdown, true);
        double reading = ReadingFraction.of(speed) * PAUSE_MILLIS;
        assertThat(reading + STEPS_MILLIS / speed.currentRate()).isLessThanOrEqualTo(PAUSE_MILLIS + 1e-9);
    }

    @Test
    void anUnknownSpeedKeepsTheUsualFraction() {
        assertThat(ReadingFraction.of(TargetSpeed.UNKNOWN)).isEqualTo(PromptPacer.READING_FRACTION);
    }
}
