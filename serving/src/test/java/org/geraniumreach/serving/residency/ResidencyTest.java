package org.geraniumreach.serving.residency;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class ResidencyTest {

    private static final AdapterReference HOT = AdapterReference.of("hot", "1");
    private static final AdapterReference COLD = AdapterReference.of("cold", "1");

    private final ManualClock clock = new ManualClock();
    private final FleetLoads fleetLoads = FleetLoads.create(clock, Duration.ofSeconds(1));
    private int attemptCount;

    private Residency residency(int slots) {
        Residency residency = Residency.create(ResidencySettings.standard(slots), fleetLoads, clock);
        residency.synchronise(1, Set.of(), clock.nanos());
        return residency;
    }

    private AttemptId request(Residency residency, AdapterReference adapter) {
        AttemptId attempt = AttemptId.of("attempt-" + ++attemptCount);
        residency.request(attempt, adapter, 1);
        return attempt;
    }

    private void load(Residency residency, AdapterReference adapter) {
        AttemptId attempt = request(residency, adapter);
        residency.orders().forEach(residency::loaded);
        residency.withdraw(attempt);
    }

    /*
     * The caller of a cold adapter waits until its deadline. A hot adapter holds the only slot: before one of its requests
     * ends, the next has begun, so the slot is never free. After the patience the slot takes no new request, and runs out.
     */
    @Test
    void busySlotIsRetiredForARequestThatWaitedLongerThanItsPatience() {
        Residency residency = residency(1);
        load(residency, HOT);
        Pin running = residency.pin(request(residency, HOT), HOT).orElseThrow();
        request(residency, COLD);
        assertThat(residency.orders()).isEmpty();
        clock.advance(Duration.ofSeconds(3));
        assertThat(residency.orders()).isEmpty();
        assertThat(residency.pin(request(residency, HOT), HOT)).isEmpty();
        running.release();
        assertThat(residency.orders()).extracting(LoadOrder::adapter).containsExactly(COLD);
    }

    /*
     * The caller of the hot adapter waits although it is resident. A cold request makes its slot run out, and then goes
     * away; unless the slot is kept on, nobody wants the load that would end this, and it takes no request again.
     */
    @Test
    void retiringSlotIsKeptWhenTheWaitingRequestIsCancelled() {
        Residency residency = residency(1);
        load(residency, HOT);
        residency.pin(request(residency, HOT), HOT).orElseThrow();
        AttemptId cold = request(residency, COLD);
        clock.advance(Duration.ofSeconds(3));
        residency.orders();
        residency.withdraw(cold);
        residency.orders();
        assertThat(residency.pin(request(residency, HOT), HOT)).isPresent();
    }

    /*
     * Callers of a hot adapter stall again and again. A wave of adapters that are asked for once each passes through; by
     * recency alone it would push the hot one out, by frequency the wave's own go first.
     */
    @Test
    void burstOfColdAdaptersDoesNotEvictTheHotOne() {
        Residency residency = residency(2);
        for (int use = 0; use < 10; use++) {
            load(residency, HOT);
        }
        for (int cold = 0; cold < 20; cold++) {
            clock.advance(Duration.ofMillis(100));
            load(residency, AdapterReference.of("cold-" + cold, "1"));
            assertThat(residency.isReady(HOT)).isTrue();
        }
    }

    @ParameterizedTest
    @EnumSource(LoadPolicy.class)
    void requestsForTheSameAdapterShareOneLoad(LoadPolicy policy) {
        Residency residency = Residency.create(ResidencySettings.standard(4).withLoading(policy), fleetLoads, clock);
        request(residency, COLD);
        request(residency, COLD);
        assertThat(residency.orders()).hasSize(1);
        assertThat(residency.orders()).isEmpty();
    }

    /*
     * Every load of the fleet slows down. Other companions have all the loads in transit that the fleet allows, and this one adds more. It waits
     * until they are done; and if their news stops coming, it goes on.
     */
    @Test
    void loadsWaitWhileFreshReportsShowTheFleetAtItsLimit() {
        Residency residency = residency(4);
        fleetLoads.news(TargetId.of("other"), ResidencySettings.standard(4).loadsFleetWide(), 0, 0);
        request(residency, COLD);
        assertThat(residency.orders()).isEmpty();
        clock.advance(Duration.ofMillis(1500));
        assertThat(residency.orders()).hasSize(1);
    }

    /*
     * A caller waits for its deadline in vain. Another account asks for many cold adapters, each with more waiters than the
     * caller's; by waiting work all of these are loaded first. Fair over accounts, the caller's is the first or second.
     */
    @Test
    void accountWithOneColdAdapterIsNotStarvedByAnAccountWithMany() {
        Residency residency = residency(8);
        for (int cold = 0; cold < 20; cold++) {
            for (int waiter = 0; waiter < 5; waiter++) {
                AttemptId attempt = AttemptId.of("flood-" + cold + "-" + waiter);
                residency.request(attempt, AccountId.of("flood"), AdapterReference.of("cold-" + cold, "1"), 1);
            }
        }
        clock.advance(Duration.ofMillis(100));
        residency.request(AttemptId.of("quiet"), AccountId.of("quiet"), COLD, 1);
        assertThat(residency.orders()).extracting(LoadOrder::adapter).contains(COLD);
    }

    @Test
    void loadStartsAboveTheFleetLimitOnceItsPatienceIsExceeded() {
        Residency residency = residency(4);
        request(residency, COLD);
        clock.advance(Duration.ofSeconds(2));
        fleetLoads.news(TargetId.of("other"), 100, 0, 0);
        assertThat(residency.orders()).hasSize(1);
    }

    /*
     * Callers of an adapter whose weights are broken each wait for a load that fails. After the first failure they are told
     * at once, and requests that follow are refused until the backoff is over, which doubles.
     */
    @Test
    void requestsAreRefusedDuringTheBackoffAfterAFailedLoad() {
        Residency residency = residency(2);
        for (long expected = 500; expected <= 2000; expected *= 2) {
            AttemptId attempt = request(residency, COLD);
            assertThat(residency.failed(residency.orders().get(0))).containsExactly(attempt);
            Answer answer = residency.request(AttemptId.of("refused"), COLD, 1);
            assertThat(answer.state()).isEqualTo(Answer.State.REFUSED);
            assertThat(answer.delay()).isEqualTo(Duration.ofMillis(expected));
            clock.advance(answer.delay());
        }
        assertThat(List.copyOf(residency.loading())).isEmpty();
    }
}
