package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.geraniumreach.gateway.admission.PromptPacer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulates prompts of many entries at one target, and checks the timing of the streams as seen by callers. */
class PacedStreamsTest {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double OBJECTIVE_MILLIS = 800;
    private static final double MAX_PAUSE_MILLIS = 300;
    private static final Duration MAX_DELAY = Duration.ofMillis(520);
    private static final double MINUTE_MILLIS = 60_000;
    private static final int SEEDS = 10;

    private record Result(double lateFraction, double meanTimeToFirstEvent) {}

    private static List<EngineModel.Stream> streams(double perSecond, Random random) {
        List<EngineModel.Stream> streams = new ArrayList<>();
        double at = 0;
        while (at < MINUTE_MILLIS) {
            at -= Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            int prompt = (int) Math.min(3_790, 350 + 760 * Math.exp(0.8 * random.nextGaussian() - 0.32));
            int events = (int) Math.max(6, Math.min(187, 57 * Math.exp(0.7 * random.nextGaussian() - 0.25)));
            streams.add(new EngineModel.Stream(at, prompt, 3 * events));
        }
        return streams;
    }

    private static Result simulate(double perSecond, boolean paced) {
        int late = 0;
        int count = 0;
        double timeToFirstEvent = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            List<EngineModel.Stream> streams = streams(perSecond, new Random(seed));
            if (paced) {
                pace(streams);
            }
            new EngineModel().run(streams);
            for (EngineModel.Stream stream : streams) {
                boolean inTime =
                        stream.timeToFirstEvent() <= OBJECTIVE_MILLIS && stream.longestPause() <= MAX_PAUSE_MILLIS;
                late += inTime ? 0 : 1;
                timeToFirstEvent += stream.timeToFirstEvent();
                count++;
            }
        }
        return new Result((double) late / count, timeToFirstEvent / count);
    }

    private static void pace(List<EngineModel.Stream> streams) {
        PromptPacer pacer = new PromptPacer();
        for (EngineModel.Stream stream : streams) {
            long now = (long) (stream.arrivedAt() * NANOS_PER_MILLI);
            Duration delay = pacer.admit(stream.readingTime(), PromptPacer.READING_FRACTION, MAX_DELAY, now)
                    .orElse(Duration.ZERO);
            stream.sendAt(stream.arrivedAt() + delay.toNanos() / NANOS_PER_MILLI);
        }
    }

    /** Guards against streams that pause because prompts of many entries reach their target in a burst. */
    @ParameterizedTest
    @CsvSource({"4, 0.1", "6.5, 0.3", "8, 0.4"})
    void pacingReducesLateStreamsWithoutDelayingFirstEvents(double perSecond, double maxLateRatio) {
        Result unpaced = simulate(perSecond, false);
        Result paced = simulate(perSecond, true);
        assertThat(paced.lateFraction()).isLessThan(maxLateRatio * unpaced.lateFraction());
        assertThat(paced.meanTimeToFirstEvent()).isLessThan(1.05 * unpaced.meanTimeToFirstEvent());
    }
}
