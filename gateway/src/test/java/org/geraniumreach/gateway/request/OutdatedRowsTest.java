package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.testing.RecordedAnswer;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that come while what is known of the store's rows is older than allowed. */
class OutdatedRowsTest {

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

    private final RequestHarness world = new RequestHarness();
    private boolean outdated = true;

    private RecordedAnswer send(RetryPolicy retryPolicy) {
        world.startWithRoute(retryPolicy, 3).addTarget("a").addTarget("b");
        world.setRows(() -> outdated ? Optional.of(CHECK_INTERVAL) : Optional.empty());
        return world.send();
    }

    /** Guards against requests that reach a target of whose end the store has told long ago. */
    @ParameterizedTest
    @EnumSource(RetryPolicy.class)
    void aRequestWaitsForTheReading(RetryPolicy retryPolicy) {
        send(retryPolicy);
        world.time().advance(Duration.ofMillis(100));
        assertThat(world.targets().sentRequests()).isEmpty();
        outdated = false;
        world.time().advance(CHECK_INTERVAL);
        assertThat(world.targets().sentRequests()).hasSize(1);
    }

    /** Guards against a request that waits for something else, and is placed by rows that have become old meanwhile. */
    @Test
    void aRequestThatIsPlacedOnceMoreWaitsToo() {
        outdated = false;
        send(RetryPolicy.IDEMPOTENT);
        outdated = true;
        world.targets().lastRequest().fail(true);
        world.time().advance(Duration.ofMillis(100));
        assertThat(world.targets().sentRequests()).hasSize(1);
        outdated = false;
        world.time().advance(CHECK_INTERVAL);
        assertThat(world.targets().sentRequests()).hasSize(2);
    }

    /** Guards against a request that is decided by a configuration whose successor has been acknowledged long ago. */
    @Test
    void aRequestIsRoutedByTheConfigurationThatTheReadingBrings() {
        send(RetryPolicy.AT_MOST_ONCE);
        world.configure(RetryPolicy.IDEMPOTENT, 3);
        outdated = false;
        world.time().advance(CHECK_INTERVAL);
        world.targets().lastRequest().fail(true);
        assertThat(world.targets().sentRequests()).hasSize(2);
    }

    /** Guards against a request without an answer at the end of its time. */
    @ParameterizedTest
    @EnumSource(RetryPolicy.class)
    void aRequestWhoseTimeEndsMeanwhileIsRefused(RetryPolicy retryPolicy) {
        RecordedAnswer answer = send(retryPolicy);
        world.time().advance(RequestHarness.TIMEOUT.plus(CHECK_INTERVAL));
        assertThat(world.targets().sentRequests()).isEmpty();
        assertThat(answer.status()).isEqualTo(503);
        assertThat(world.openExchanges()).isZero();
    }
}
