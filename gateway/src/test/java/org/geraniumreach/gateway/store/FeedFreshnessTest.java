package org.geraniumreach.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FeedFreshnessTest {

    private final VirtualTime time = new VirtualTime();
    private final List<String> logged = new ArrayList<>();
    private final List<Duration> ages = new ArrayList<>();
    private final FakeFeed feed = new FakeFeed();
    private final FeedFreshness freshness = new FeedFreshness(
            StorePort.Table.TARGETS,
            feed,
            ages::add,
            time,
            (event, id, fields) -> logged.add(event + " " + fields[0].value()));

    private static final class FakeFeed implements FeedFreshness.Feed {
        private OptionalLong readAt = OptionalLong.empty();
        private boolean failed;
        private int requestedReadings;

        @Override
        public OptionalLong readAt() {
            return readAt;
        }

        @Override
        public boolean hasFailed() {
            return failed;
        }

        @Override
        public void requestReading() {
            requestedReadings++;
        }
    }

    private void read() {
        feed.readAt = OptionalLong.of(time.nanos());
    }

    /** Guards against a log without a trace of requests that were sent by what was known long ago. */
    @Test
    void eachPeriodOfOutdatedRowsIsLoggedOnce() {
        for (int period = 1; period <= 2; period++) {
            read();
            time.advance(FeedFreshness.MAXIMUM_AGE);
            freshness.timeUntilNextCheck();
            assertThat(logged).hasSize(period - 1);
            time.advance(Duration.ofMillis(1));
            freshness.timeUntilNextCheck();
            freshness.timeUntilNextCheck();
            assertThat(logged).hasSize(period).containsOnly("ROWS_OUTDATED HELD");
            read();
            freshness.timeUntilNextCheck();
        }
    }

    @Test
    void agesAreRecordedOnceRowsAreKnown() {
        freshness.timeUntilNextCheck();
        assertThat(ages).isEmpty();
        read();
        time.advance(Duration.ofMillis(300));
        freshness.timeUntilNextCheck();
        assertThat(ages).containsExactly(Duration.ofMillis(300));
    }

    @Test
    void rowsThatAreOldSinceTheStoreIsAwayAreNotLogged() {
        read();
        feed.failed = true;
        time.advance(Duration.ofSeconds(20));
        assertThat(freshness.timeUntilNextCheck()).isEmpty();
        assertThat(logged).isEmpty();
    }

    private void outdate() {
        read();
        time.advance(FeedFreshness.MAXIMUM_AGE.plusMillis(1));
    }

    /** Guards against a request that is placed by old rows while the answer with newer ones is on its way. */
    @Test
    void outdatedRowsAreReadAndNotActedOnUntilTheyAre() {
        outdate();
        assertThat(freshness.timeUntilNextCheck()).isPresent();
        assertThat(feed.requestedReadings).isEqualTo(1);
        read();
        assertThat(freshness.timeUntilNextCheck()).isEmpty();
    }

    /** Guards against callers that are not served while the store is away. */
    @Test
    void outdatedRowsAreActedOnOnceTheCallHasFailed() {
        outdate();
        assertThat(freshness.timeUntilNextCheck()).isPresent();
        feed.failed = true;
        assertThat(freshness.timeUntilNextCheck()).isEmpty();
    }

    /** Guards against requests that wait without end for a reading that comes in many parts, or never looks fresh. */
    @Test
    void aHoldEnds() {
        outdate();
        Duration held = Duration.ZERO;
        while (freshness.timeUntilNextCheck().isPresent()) {
            time.advance(Duration.ofMillis(20));
            held = held.plusMillis(20);
            assertThat(held).isLessThanOrEqualTo(FeedFreshness.MAXIMUM_HOLD);
        }
        assertThat(held).isEqualTo(FeedFreshness.MAXIMUM_HOLD);
        time.advance(Duration.ofMillis(20));
        assertThat(freshness.timeUntilNextCheck()).isEmpty();
        assertThat(logged).containsExactly("ROWS_OUTDATED HELD", "ROWS_OUTDATED ACTED");
    }

    /** Guards against a process that stands still again while it holds requests, and then acts on older rows yet. */
    @Test
    void thePauseOfAProcessIsNotPartOfAHold() {
        outdate();
        assertThat(freshness.timeUntilNextCheck()).isPresent();
        time.stall(FeedFreshness.MAXIMUM_HOLD);
        assertThat(freshness.timeUntilNextCheck()).isPresent();
    }
}
