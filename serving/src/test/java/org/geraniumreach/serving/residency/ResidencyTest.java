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
        residency.startLoads().forEach(residency::onLoaded);
        residency.cancel(attempt);
    }

    /*
     * Guards against starving requests for a cold adapter when a hot adapter constantly uses the only slot. After the
     * patience the slot takes no new requests, and it is evicted when its running request ends.
     */
    @Test
    void busySlotIsRetiredForARequestThatWaitedLongerThanItsPatience() {
        Residency residency = residency(1);
        load(residency, HOT);
        Pin running = residency.pin(request(residency, HOT), HOT).orElseThrow();
        request(residency, COLD);
        assertThat(residency.startLoads()).isEmpty();
        clock.advance(Duration.ofSeconds(3));
        assertThat(residency.startLoads()).isEmpty();
        assertThat(residency.pin(request(residency, HOT), HOT)).isEmpty();
        running.release();
        assertThat(residency.startLoads())
                .extracting(AdapterLoadCommand::adapter)
                .containsExactly(COLD);
    }

    /*
     * Guards against a slot that stays retiring forever. A cold request causes the slot of the hot adapter to be
     * retired and is then cancelled; with no load left to replace it, the slot would never take requests again.
     */
    @Test
    void retiringSlotIsKeptWhenTheWaitingRequestIsCancelled() {
        Residency residency = residency(1);
        load(residency, HOT);
        residency.pin(request(residency, HOT), HOT).orElseThrow();
        AttemptId coldAttempt = request(residency, COLD);
        clock.advance(Duration.ofSeconds(3));
        residency.startLoads();
        residency.cancel(coldAttempt);
        residency.startLoads();
        assertThat(residency.pin(request(residency, HOT), HOT)).isPresent();
    }

    /*
     * Guards against repeated stalls on a hot adapter. A burst of adapters requested once each would evict it by
     * recency alone; by frequency the adapters of the burst are evicted first.
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
        assertThat(residency.startLoads()).hasSize(1);
        assertThat(residency.startLoads()).isEmpty();
    }

    /*
     * Guards against slowing down all loads of the fleet. While other companions have as many loads in progress as the
     * fleet allows, this one waits; it continues when their reports expire.
     */
    @Test
    void loadsWaitWhileFreshReportsShowTheFleetAtItsLimit() {
        Residency residency = residency(4);
        fleetLoads.onReport(TargetId.of("other"), ResidencySettings.standard(4).loadsFleetWide(), 0, 0);
        request(residency, COLD);
        assertThat(residency.startLoads()).isEmpty();
        clock.advance(Duration.ofMillis(1500));
        assertThat(residency.startLoads()).hasSize(1);
    }

    /*
     * Guards against starvation by another account that requests many cold adapters, each with more waiters. By waiting
     * work all of these would be loaded first; with fair queueing the single adapter is loaded first or second.
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
        assertThat(residency.startLoads())
                .extracting(AdapterLoadCommand::adapter)
                .contains(COLD);
    }

    @Test
    void loadStartsAboveTheFleetLimitOnceItsPatienceIsExceeded() {
        Residency residency = residency(4);
        request(residency, COLD);
        clock.advance(Duration.ofSeconds(2));
        fleetLoads.onReport(TargetId.of("other"), 100, 0, 0);
        assertThat(residency.startLoads()).hasSize(1);
    }

    /*
     * Guards against requests that each wait for another failing load of a broken adapter. Those waiting fail together
     * with the load, and later ones are refused until the back-off has passed, which doubles with each failure.
     */
    @Test
    void requestsAreRefusedDuringTheBackoffAfterAFailedLoad() {
        Residency residency = residency(2);
        for (long expectedMillis = 500; expectedMillis <= 2000; expectedMillis *= 2) {
            AttemptId attempt = request(residency, COLD);
            assertThat(residency.onLoadFailed(residency.startLoads().get(0))).containsExactly(attempt);
            AdapterRequestResult result = residency.request(AttemptId.of("refused"), COLD, 1);
            assertThat(result.state()).isEqualTo(AdapterRequestResult.State.REFUSED);
            assertThat(result.delay()).isEqualTo(Duration.ofMillis(expectedMillis));
            clock.advance(result.delay());
        }
        assertThat(List.copyOf(residency.loading())).isEmpty();
    }
}
