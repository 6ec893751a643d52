package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PrefillRateTest {

    private static final double NANOS_PER_MILLI = 1e6;

    /** Guards against prompts that are spaced too far apart because the steps until a first part are taken for reading. */
    @ParameterizedTest
    @CsvSource({"19.2, 38", "29.4, 42", "10, 20"})
    void theReadingIsToldFromWhatEachRequestTakes(double tokensPerMilli, double overheadMillis) {
        PrefillRate speed = new PrefillRate();
        Random random = new Random(3);
        for (int prompt = 0; prompt < 400; prompt++) {
            long tokens = 150 + random.nextInt(3_000);
            double othersAhead = random.nextInt(3) == 0 ? random.nextInt(150) : random.nextInt(8);
            double millis = overheadMillis + tokens / tokensPerMilli + othersAhead;
            speed.record(tokens, Duration.ofNanos((long) (millis * NANOS_PER_MILLI)));
        }
        assertThat(speed.netTokensPerMilli()).isBetween(0.85 * tokensPerMilli, 1.1 * tokensPerMilli);
        assertThat(speed.tokensPerMilli()).isLessThan(speed.netTokensPerMilli());
    }
}
