package org.geraniumreach.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FeedFreshnessTest {

    private final VirtualTime time = new VirtualTime();
    private final List<EventCode> logged = new ArrayList<>();
    private final List<Duration> ages = new ArrayList<>();
    private final FakeFeed feed = new FakeFeed();
    private final FeedFreshness freshness =
            new FeedFreshness(StorePort.Table.TARGETS, feed, ages::add, time, (event, id, fields) -> logged.add(event));

    private static final class FakeFeed implements FeedFreshness.Feed {
        private OptionalLong readAt = OptionalLong.empty();
        private boolean failed;

        @Override
        public OptionalLong readAt() {
            return readAt;
        }

        @Override
        public boolean hasFailed() {
            return failed;
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
            assertThat(logged).hasSize(period).containsOnly(EventCode.ROWS_OUTDATED);
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
}
