package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PromptPacerTest {

    private static final Duration READING_TIME = Duration.ofMillis(75);
    private static final Duration MAX_DELAY = Duration.ofMillis(300);
    private static final Duration MAX_SPAN = Duration.ofMillis(300);

    private static Optional<Duration> admit(PromptPacer pacer, Duration readingTime, Duration maxDelay, long now) {
        return pacer.admit(readingTime, PromptPacer.READING_FRACTION, maxDelay, now);
    }

    /** Guards against streams that pause because prompts of several entries reach their target in a burst. */
    @Test
    void aBurstOfPromptsIsSpread() {
        PromptPacer pacer = new PromptPacer();
        List<Duration> delays = new ArrayList<>();
        for (int prompt = 0; prompt < 4; prompt++) {
            delays.add(admit(pacer, READING_TIME, MAX_DELAY, 0).orElseThrow());
        }
        assertThat(delays).extracting(Duration::toMillis).containsExactly(0L, 83L, 177L, 271L);
    }

    /** Guards against delaying prompts for longer than another target would take to read them. */
    @Test
    void aPromptThatWouldBeDelayedTooLongIsRefusedAndUsesNoReadingTime() {
        PromptPacer pacer = new PromptPacer();
        for (int prompt = 0; prompt < 4; prompt++) {
            assertThat(admit(pacer, READING_TIME, MAX_DELAY, 0)).isPresent();
        }
        assertThat(admit(pacer, READING_TIME, MAX_DELAY, 0)).isEmpty();
        assertThat(admit(pacer, READING_TIME, Duration.ofMillis(400), 0)
                        .orElseThrow()
                        .toMillis())
                .isEqualTo(365);
    }

    @Test
    void anIdleTargetAdmitsAPromptAtOnce() {
        PromptPacer pacer = new PromptPacer();
        admit(pacer, Duration.ofSeconds(10), MAX_DELAY, 0);
        assertThat(admit(pacer, READING_TIME, MAX_DELAY, Duration.ofSeconds(14).toNanos()))
                .hasValue(Duration.ZERO);
    }

    /** Guards against a time span in which a target spends too much time reading prompts. */
    @Property(tries = 200)
    void noTimeSpanExceedsTheReadingFractionAndTheBurst(@ForAll long seed) {
        Random random = new Random(seed);
        PromptPacer pacer = new PromptPacer();
        List<long[]> sent = new ArrayList<>();
        long now = 0;
        for (int prompt = 0; prompt < 300; prompt++) {
            now += random.nextInt(40) * 1_000_000L;
            Duration reading = Duration.ofMillis(1 + random.nextInt(200));
            Optional<Duration> delay = admit(pacer, reading, MAX_DELAY, now);
            if (delay.isPresent()) {
                sent.add(new long[] {now + delay.get().toNanos(), reading.toNanos()});
            }
        }
        for (int first = 0; first < sent.size(); first++) {
            long reading = 0;
            for (int next = first; next < sent.size() && isWithinMaxSpan(sent, first, next); next++) {
                long before = reading;
                reading += sent.get(next)[1];
                long span = sent.get(next)[0] - sent.get(first)[0];
                assertThat(before)
                        .isLessThanOrEqualTo(
                                (long) ((span + PromptPacer.BURST.toNanos()) * PromptPacer.READING_FRACTION)
                                        + 1_000_000);
            }
        }
    }

    private static boolean isWithinMaxSpan(List<long[]> sent, int first, int next) {
        return sent.get(next)[0] - sent.get(first)[0] <= MAX_SPAN.toNanos();
    }
}
