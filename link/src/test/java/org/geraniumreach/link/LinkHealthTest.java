package org.geraniumreach.link;

import org.geraniumreach.link.LinkHealth.Action;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LinkHealthTest {

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 10})
    void linkIsClosedAfterLimitOfUnansweredPings(int limit) {
        LinkHealth health = new LinkHealth(limit);
        for (int ping = 0; ping < limit; ping++) {
            assertThat(health.tick()).isEqualTo(Action.PING);
        }
        assertThat(health.tick()).isEqualTo(Action.CLOSE);
    }

    @Test
    void answeredPingsKeepLinkOpen() {
        LinkHealth health = new LinkHealth(3);
        for (int ping = 0; ping < 1_000; ping++) {
            assertThat(health.tick()).isEqualTo(Action.PING);
            health.onPong(health.pingNumber());
        }
    }

    @Test
    void pongsForUnsentPingsAreIgnored() {
        LinkHealth health = new LinkHealth(1);
        assertThat(health.tick()).isEqualTo(Action.PING);
        health.onPong(99);
        assertThat(health.tick()).isEqualTo(Action.CLOSE);
    }
}
