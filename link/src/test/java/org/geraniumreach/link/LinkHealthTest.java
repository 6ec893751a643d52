package org.geraniumreach.link;

import org.geraniumreach.link.LinkHealth.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LinkHealthTest {

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 10})
    void linkIsSilentAfterSoManyUnansweredPings(int limit) {
        LinkHealth health = new LinkHealth(limit);
        for (int ping = 0; ping < limit; ping++) {
            assertThat(health.tick()).isEqualTo(Verdict.PING);
        }
        assertThat(health.tick()).isEqualTo(Verdict.SILENT);
    }

    @Test
    void linkWhosePingsAreAnsweredLives() {
        LinkHealth health = new LinkHealth(3);
        for (int ping = 0; ping < 1_000; ping++) {
            assertThat(health.tick()).isEqualTo(Verdict.PING);
            health.pong(health.pingNumber());
        }
    }

    @Test
    void pongsOfPingsNeverSentCountForNothing() {
        LinkHealth health = new LinkHealth(1);
        assertThat(health.tick()).isEqualTo(Verdict.PING);
        health.pong(99);
        assertThat(health.tick()).isEqualTo(Verdict.SILENT);
    }
}
