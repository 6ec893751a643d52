package org.geraniumreach.daemon.companion;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class OrderPermitTest {

    private static final Duration LIMIT = Duration.ofSeconds(2);
    private static final long LATER = Duration.ofSeconds(3).toNanos();

    private static OrderPermit taken(boolean targetChecks) {
        OrderPermit permit = new OrderPermit(targetChecks, LIMIT);
        permit.taken(5, 0);
        return permit;
    }

    @Test
    void noOrderIsGivenBeforeTheFenceIsTaken() {
        assertThat(new OrderPermit(true, LIMIT).order(0)).isEmpty();
    }

    @Test
    void orderCarriesTheFence() {
        assertThat(taken(false).order(1).orElseThrow().fence()).isEqualTo(5);
    }

    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void companionThatWasFrozenAsksBeforeItGivesOrdersAgain(boolean targetChecks, boolean permitted) {
        // The companion is frozen for longer than an order is valid; its successor may have begun. A target that checks
        // fences refuses the old one's order by itself. For one that does not, no order may be given at all.
        OrderPermit permit = taken(targetChecks);
        assertThat(permit.order(LATER).isPresent()).isEqualTo(permitted);
        permit.tick(LATER + 1);
        assertThat(permit.order(LATER + 2).isPresent()).isEqualTo(permitted);
        permit.confirmed(LATER + 2, LATER + 3);
        assertThat(permit.order(LATER + 4)).isPresent();
    }

    @Test
    void readingFromBeforeTheFreezeConfirmsNothing() {
        OrderPermit permit = taken(false);
        permit.confirmed(1, LATER);
        assertThat(permit.order(LATER + 1)).isEmpty();
    }

    @Test
    void noOrderIsGivenAfterANewerFenceWasSeen() {
        OrderPermit permit = taken(true);
        permit.fencedOut();
        permit.confirmed(1, 2);
        assertThat(permit.order(3)).isEmpty();
    }
}
