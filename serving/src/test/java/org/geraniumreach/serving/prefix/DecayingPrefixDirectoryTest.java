package org.geraniumreach.serving.prefix;

import java.time.Duration;
import java.util.stream.IntStream;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.ManualClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DecayingPrefixDirectoryTest {

    private static final Duration HALF_LIFE = Duration.ofSeconds(60);
    private static final int CAPACITY = 160;
    private static final AdapterReference ADAPTER = AdapterReference.of("adapter", "1");
    private static final TargetId HERE = TargetId.of("here");
    private static final TargetId THERE = TargetId.of("there");

    private final ManualClock clock = new ManualClock();
    private final DecayingPrefixDirectory directory = DecayingPrefixDirectory.create(clock, HALF_LIFE, CAPACITY);

    private static PrefixDigest digest(int number) {
        return PrefixDigest.of(ADAPTER, new byte[] {(byte) number, (byte) (number >> 8)});
    }

    private double confidence(int number) {
        return directory.find(digest(number)).map(PrefixLocation::confidence).orElse(0.0);
    }

    @Test
    void confidenceDecaysUntilTheLocationIsDropped() {
        directory.onRequestEnded(digest(1), HERE, true);
        assertThat(confidence(1)).isEqualTo(1);
        clock.advance(HALF_LIFE);
        assertThat(confidence(1)).isEqualTo(0.5);
        clock.advance(HALF_LIFE.multipliedBy(3));
        assertThat(directory.find(digest(1))).isEmpty();
    }

    /*
     * Guards against a conversation that returns to a busy target at every turn although its engine evicts the prefix
     * between turns. Each miss halves the confidence, so load balance outweighs it after a few turns.
     */
    @Test
    void missesLowerTheConfidenceAndAHitRestoresIt() {
        directory.onRequestEnded(digest(1), HERE, false);
        double before = confidence(1);
        for (int miss = 0; miss < 2; miss++) {
            directory.onRequestEnded(digest(1), HERE, false);
            assertThat(confidence(1)).isLessThan(0.6 * before);
            before = confidence(1);
        }
        directory.onRequestEnded(digest(1), HERE, true);
        assertThat(confidence(1)).isEqualTo(1);
    }

    @Test
    void invalidatedTargetKeepsOnlyNewerLocations() {
        directory.onRequestEnded(digest(1), HERE, true);
        directory.onRequestEnded(digest(2), THERE, true);
        directory.invalidate(HERE);
        assertThat(directory.find(digest(1))).isEmpty();
        assertThat(directory.find(digest(2))).isPresent();
        clock.advance(Duration.ofMillis(1));
        directory.onRequestEnded(digest(1), HERE, false);
        assertThat(directory.find(digest(1))).map(PrefixLocation::target).contains(HERE);
    }

    @Test
    void locationsAreBoundedByTheCapacity() {
        IntStream.range(0, 10_000).forEach(number -> directory.onRequestEnded(digest(number), HERE, true));
        long kept = IntStream.range(0, 10_000)
                .filter(number -> directory.find(digest(number)).isPresent())
                .count();
        assertThat(kept).isLessThanOrEqualTo(CAPACITY);
    }

    @Test
    void sameTextUnderTwoAdaptersHasTwoDigests() {
        byte[] text = {1, 2, 3};
        assertThat(PrefixDigest.of(ADAPTER, text))
                .isNotEqualTo(PrefixDigest.of(AdapterReference.of("adapter", "2"), text));
    }
}
