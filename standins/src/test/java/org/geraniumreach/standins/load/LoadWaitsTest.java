package org.geraniumreach.standins.load;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LoadWaitsTest {

    private static final String METRICS = String.join(
            "\n",
            "# TYPE geraniumreach_load_wait_seconds histogram",
            "geraniumreach_load_wait_seconds_bucket{account=\"a\",class=\"chat\",le=\"0.001\"} 80",
            "geraniumreach_load_wait_seconds_bucket{account=\"a\",class=\"chat\",le=\"0.5\"} 96",
            "geraniumreach_load_wait_seconds_bucket{account=\"a\",class=\"chat\",le=\"+Inf\"} 100",
            "geraniumreach_load_wait_seconds_count{account=\"a\",class=\"chat\"} 100",
            "");

    @Test
    void sharesAndBoundsCoverOnlyRequestsBetweenTwoReadings() {
        LoadWaits before = LoadWaits.parse(METRICS);
        LoadWaits after = before.plus(before).plus(before);
        LoadWaits between = after.minus(before);
        assertThat(between.requests()).isEqualTo(200);
        assertThat(between.stalledShare()).isEqualTo(0.2);
        assertThat(between.boundMillis(0.95)).isEqualTo(500);
        assertThat(between.boundMillis(0.80)).isEqualTo(1);
        assertThat(between.boundMillis(0.99)).isEqualTo(500);
    }
}
