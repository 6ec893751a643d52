package org.geraniumreach.standins.load;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.geraniumreach.standins.load.RateWindows.Usage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RateWindowsTest {

    @Test
    void aBurstAndThenTheRateIsAllowed() {
        List<Usage> usages = List.of(new Usage(0, 0, 100), new Usage(1000, 1000, 50), new Usage(2000, 2000, 50));
        assertThat(RateWindows.check("a", 50, 100, usages)).isEmpty();
    }

    @Test
    void twoSimultaneousBurstsAreRejectedAfterAnIdlePeriod() {
        List<Usage> usages =
                List.of(new Usage(0, 0, 10), new Usage(60_000, 60_000, 100), new Usage(60_000, 60_010, 100));
        assertThat(RateWindows.check("a", 50, 100, usages)).isPresent();
    }

    @Test
    void aRequestPossiblyAdmittedOutsideAWindowIsNotCountedInIt() {
        List<Usage> usages = List.of(new Usage(0, 5000, 100), new Usage(5000, 5000, 100));
        assertThat(RateWindows.check("a", 50, 100, usages)).isEmpty();
    }

    @Property(seed = "1", tries = 200)
    void requestsAdmittedByATokenBucketAlwaysPass(
            @ForAll @Size(max = 60) List<@IntRange(max = 400) Integer> gaps,
            @ForAll @IntRange(min = 1, max = 80) int tokens) {
        double available = 100;
        long now = 0;
        List<Usage> usages = new ArrayList<>();
        for (int gap : gaps) {
            now += gap;
            available = Math.min(100, available + gap * 0.05);
            if (available >= tokens) {
                available -= tokens;
                usages.add(new Usage(now, now, tokens));
            }
        }
        assertThat(RateWindows.check("a", 50, 100, usages)).isEmpty();
    }
}
