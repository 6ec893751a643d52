package org.geraniumreach.daemon.companion;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class OrderAuthorizationTest {

    private static final Duration LIMIT = Duration.ofSeconds(2);
    private static final long AFTER_LIMIT_NANOS = Duration.ofSeconds(3).toNanos();

    private static OrderAuthorization withFence(boolean targetChecksFence) {
        OrderAuthorization authorization = new OrderAuthorization(targetChecksFence, LIMIT);
        authorization.onFenceAcquired(5, 0);
        return authorization;
    }

    @Test
    void noOrderIsGivenBeforeTheFenceIsTaken() {
        assertThat(new OrderAuthorization(true, LIMIT).authorize(0)).isEmpty();
    }

    @Test
    void orderCarriesTheFence() {
        assertThat(withFence(false).authorize(1).orElseThrow().fencingToken()).isEqualTo(5);
    }

    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void frozenCompanionConfirmsItsFenceBeforeTheNextOrder(boolean targetChecksFence, boolean isAuthorized) {
        // The companion is frozen for longer than an order is valid, so its successor may have started. A target that
        // checks fencing tokens refuses the old companion's order itself; for one that does not, no order may be
        // authorized until the token was read again.
        OrderAuthorization authorization = withFence(targetChecksFence);
        assertThat(authorization.authorize(AFTER_LIMIT_NANOS).isPresent()).isEqualTo(isAuthorized);
        authorization.tick(AFTER_LIMIT_NANOS + 1);
        assertThat(authorization.authorize(AFTER_LIMIT_NANOS + 2).isPresent()).isEqualTo(isAuthorized);
        authorization.onFenceConfirmed(AFTER_LIMIT_NANOS + 2, AFTER_LIMIT_NANOS + 3);
        assertThat(authorization.authorize(AFTER_LIMIT_NANOS + 4)).isPresent();
    }

    /** Guards against work refused after a freeze on a read that began before it. */
    @ParameterizedTest
    @CsvSource({"1, UNCONFIRMED", "2999999999, UNCONFIRMED", "3000000000, REFUSED", "3000000001, REFUSED"})
    void workWaitsUntilAReadSinceTheFreezeHasFailed(long askedAt, OrderAuthorization.State expected) {
        OrderAuthorization authorization = withFence(false);
        authorization.tick(AFTER_LIMIT_NANOS);
        assertThat(authorization.state(AFTER_LIMIT_NANOS + 2)).isEqualTo(OrderAuthorization.State.UNCONFIRMED);
        authorization.onConfirmationFailed(askedAt);
        assertThat(authorization.state(AFTER_LIMIT_NANOS + 2)).isEqualTo(expected);
        authorization.onFenceConfirmed(AFTER_LIMIT_NANOS + 2, AFTER_LIMIT_NANOS + 3);
        assertThat(authorization.state(AFTER_LIMIT_NANOS + 4)).isEqualTo(OrderAuthorization.State.AUTHORIZED);
    }

    @Test
    void fenceReadBegunBeforeTheFreezeConfirmsNothing() {
        OrderAuthorization authorization = withFence(false);
        authorization.onFenceConfirmed(1, AFTER_LIMIT_NANOS);
        assertThat(authorization.authorize(AFTER_LIMIT_NANOS + 1)).isEmpty();
    }

    @Test
    void noOrderIsGivenAfterANewerFence() {
        OrderAuthorization authorization = withFence(true);
        authorization.onFencedOut();
        authorization.onFenceConfirmed(1, 2);
        assertThat(authorization.authorize(3)).isEmpty();
    }
}
