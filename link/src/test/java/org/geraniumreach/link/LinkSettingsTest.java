package org.geraniumreach.link;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LinkSettingsTest {

    @Test
    void withPingsChangesOnlyPingSettings() {
        LinkSettings defaults = LinkSettings.defaults();
        LinkSettings changed = defaults.withPings(Duration.ofSeconds(1), 2);
        assertThat(changed.pingInterval()).isEqualTo(Duration.ofSeconds(1));
        assertThat(changed.unansweredPings()).isEqualTo(2);
        assertThat(changed.withGreatestBackoff(Duration.ofSeconds(9)).greatestBackoff())
                .isEqualTo(Duration.ofSeconds(9));
        assertThat(changed.withPings(defaults.pingInterval(), defaults.unansweredPings()))
                .isEqualTo(defaults);
    }
}
