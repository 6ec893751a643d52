package org.geraniumreach.daemon.companion;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class OrderAuthorizationTest {

    private static final Duration LIMIT = Duration.ofSeconds(2);
    private static final long LATER = Duration.ofSeconds(3).toNanos();

    private static OrderAuthorization withFence(boolean targetChecks) {
        OrderAuthorization permit = new OrderAuthorization(targetChecks, LIMIT);
        permit.onFenceAcquired(5, 0);
        return permit;
    }

    @Test
    void noOrderIsGivenBeforeTheFenceIsTaken() {
        assertThat(new OrderAuthorization(true, LIMIT).authorize(0)).isEmpty();
    }

    @Test
    void orderCarriesTheFence() {
        assertThat(withFence(false).authorize(1).orElseThrow().fence()).isEqualTo(5);
    }

    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void frozenCompanionConfirmsItsFenceBeforeTheNextOrder(boolean targetChecks, boolean permitted) {
        // The companion is frozen for longer than an order is valid; its successor may have begun. A target that checks
        // fences refuses the old one's order by itself. For one that does not, no order may be given at all.
        OrderAuthorization permit = withFence(targetChecks);
        assertThat(permit.authorize(LATER).isPresent()).isEqualTo(permitted);
        permit.tick(LATER + 1);
        assertThat(permit.authorize(LATER + 2).isPresent()).isEqualTo(permitted);
        permit.onFenceConfirmed(LATER + 2, LATER + 3);
        assertThat(permit.authorize(LATER + 4)).isPresent();
    }

    @Test
    void fenceReadBegunBeforeTheFreezeConfirmsNothing() {
        OrderAuthorization permit = withFence(false);
        permit.onFenceConfirmed(1, LATER);
        assertThat(permit.authorize(LATER + 1)).isEmpty();
    }

    @Test
    void noOrderIsGivenAfterANewerFence() {
        OrderAuthorization permit = withFence(true);
        permit.onFencedOut();
        permit.onFenceConfirmed(1, 2);
        assertThat(permit.authorize(3)).isEmpty();
    }
}
