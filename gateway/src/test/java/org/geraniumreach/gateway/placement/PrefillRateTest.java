package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PrefillRateTest {

    private static final double NANOS_PER_MILLI = 1e6;

    /** Guards against prompts spaced too far apart because the overhead before the first part is counted as prefill. */
    @ParameterizedTest
    @CsvSource({"19.2, 38", "29.4, 42", "10, 20"})
    void prefillIsSeparatedFromTheOverheadOfEachRequest(double tokensPerMilli, double overheadMillis) {
        PrefillRate rate = new PrefillRate();
        Random random = new Random(3);
        for (int prompt = 0; prompt < 400; prompt++) {
            long tokens = 150 + random.nextInt(3_000);
            double otherPromptMillis = random.nextInt(3) == 0 ? random.nextInt(150) : random.nextInt(8);
            double millis = overheadMillis + tokens / tokensPerMilli + otherPromptMillis;
            rate.record(tokens, Duration.ofNanos((long) (millis * NANOS_PER_MILLI)));
        }
        assertThat(rate.netTokensPerMilli()).isBetween(0.85 * tokensPerMilli, 1.1 * tokensPerMilli);
        assertThat(rate.tokensPerMilli()).isLessThan(rate.netTokensPerMilli());
    }
}
