package org.geraniumreach.gateway.request;

import java.time.Duration;

import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestWorld;
import org.geraniumreach.gateway.traffic.RepeatRule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class DrainRuleTest {

    private static final long MILLI = 1_000_000;

    @ParameterizedTest
    @CsvSource({
        "0, 15000, true",
        "2400, 15000, true",
        "2600, 15000, false",
        "2600, 1500, true",
        "5300, 1500, true",
        "5500, 1500, false"
    })
    void aRequestIsTakenAtFirstAndLaterOnlyIfItMustBeOverInTime(long passedMillis, long longestMillis, boolean taken) {
        DrainRule rule = DrainRule.of(0, Duration.ofMillis(7_000));
        assertThat(rule.admits(Duration.ofMillis(longestMillis), passedMillis * MILLI))
                .isEqualTo(taken);
    }

    /** Guards against requests that are read in the last moments of a process and cut when it ends. */
    @Test
    void aShortRequestIsRefusedAtOnceAfterTheLastOneHasEnded() {
        RequestWorld world = new RequestWorld().route(RepeatRule.ONCE, 1).target("a");
        world.drain(Duration.ofSeconds(7));
        world.close();
        RecordedAnswer answer = world.send();
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
        assertThat(world.targets().sent()).isEmpty();
    }

    // A caller lost its draft: the entry had been asked to end six seconds before, took the request over a connection
    // that the caller kept, and was gone before the target had answered. It says so at once now, and another entry
    // serves the caller.
    @Test
    void aLongRequestThatComesLateInADrainIsRefusedAtOnceAsNotRun() {
        RequestWorld world = new RequestWorld().route(RepeatRule.ONCE, 1).target("a");
        world.drain(Duration.ofSeconds(7));
        world.time().pass(Duration.ofSeconds(6));
        RecordedAnswer answer = world.send();
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.header("Retry-After")).isNotEmpty();
        assertThat(world.targets().sent()).isEmpty();
    }
}
