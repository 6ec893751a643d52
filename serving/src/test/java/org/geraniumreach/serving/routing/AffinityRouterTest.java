package org.geraniumreach.serving.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.record.Target;
import org.geraniumreach.serving.ManualClock;
import org.geraniumreach.serving.prefix.DecayingPrefixDirectory;
import org.geraniumreach.serving.prefix.PrefixDigest;
import org.geraniumreach.serving.prefix.PrefixDirectory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class AffinityRouterTest {

    private static final int CONCURRENCY_LIMIT = 10;
    private static final AdapterReference ADAPTER = AdapterReference.of("adapter", "1");

    private final ManualClock clock = new ManualClock();
    private final FleetView fleet = FleetView.create(clock);
    private final Map<TargetId, Long> reportSequences = new HashMap<>();

    private static TargetId id(int number) {
        return TargetId.of("target-" + number);
    }

    private static void join(FleetView fleet, int number) {
        FailureDomain domain = FailureDomain.of("domain-" + number % 3);
        fleet.join(
                new Target(id(number), domain, Optional.of("model"), Optional.empty(), 8, true),
                InstanceId.of("instance-" + number));
    }

    private void joinAll(int count) {
        IntStream.range(0, count).forEach(number -> join(fleet, number));
    }

    private void report(int number, int load, AdapterReference... resident) {
        report(number, load, Set.of(resident), Set.of());
    }

    private void report(int number, int load, Set<AdapterReference> resident, Set<AdapterReference> loading) {
        long sequence = reportSequences.merge(id(number), 1L, Long::sum);
        fleet.apply(new TargetStatus(
                id(number),
                sequence,
                1,
                load,
                0,
                0,
                CONCURRENCY_LIMIT,
                8,
                true,
                resident,
                Set.of(),
                loading,
                false,
                0));
    }

    private Router router() {
        return Routers.of(RoutingPolicy.AFFINITY, fleet, TargetFilter.all(), PrefixDirectory.none());
    }

    private static RouteRequest request(AdapterReference adapter) {
        return RouteRequest.ofAdapter("model", adapter);
    }

    private static TargetId home(FleetView fleet, int adapter) {
        return Routers.of(RoutingPolicy.AFFINITY, fleet, TargetFilter.all(), PrefixDirectory.none())
                .route(request(AdapterReference.of("adapter-" + adapter, "1")))
                .orElseThrow()
                .target();
    }

    @Test
    void homeDoesNotDependOnTheOrderInWhichTargetsJoin() {
        FleetView otherFleet = FleetView.create(clock);
        joinAll(16);
        for (int number = 15; number >= 0; number--) {
            join(otherFleet, number);
        }
        for (int adapter = 0; adapter < 300; adapter++) {
            assertThat(home(fleet, adapter)).isEqualTo(home(otherFleet, adapter));
        }
    }

    /*
     * Guards against stalls on all adapters when one target is lost. If homes depended on the number of targets, nearly
     * every adapter would move and be loaded again.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 7, 15})
    void removingATargetMovesOnlyItsOwnAdapters(int removed) {
        joinAll(16);
        Map<Integer, TargetId> homesBefore = new HashMap<>();
        IntStream.range(0, 300).forEach(adapter -> homesBefore.put(adapter, home(fleet, adapter)));
        fleet.leave(id(removed));
        homesBefore.forEach((adapter, target) -> {
            if (!target.equals(id(removed))) {
                assertThat(home(fleet, adapter)).isEqualTo(target);
            }
        });
    }

    @Test
    void homesAreSpreadEvenly() {
        joinAll(16);
        Map<TargetId, Integer> counts = new HashMap<>();
        IntStream.range(0, 3200).forEach(adapter -> counts.merge(home(fleet, adapter), 1, Integer::sum));
        assertThat(counts).hasSize(16);
        assertThat(counts.values()).allMatch(count -> count > 140 && count < 260);
    }

    @Test
    void targetWithResidentAdapterIsChosenOverTheHome() {
        joinAll(16);
        report(5, 3, ADAPTER);
        assertThat(router().route(request(ADAPTER))).map(Route::target).contains(id(5));
    }

    /*
     * Guards against queueing at the only target that holds the adapter although another target could load it sooner,
     * and against waiting for a load although the holder would be free sooner.
     */
    @ParameterizedTest
    @CsvSource({"8, 0, RESIDENT", "30, 0, REPLICA", "12, 60, RESIDENT"})
    void replicaIsUsedOnlyWhenALoadIsFasterThanWaiting(int load, int pendingLoads, Route.Reason expected) {
        joinAll(16);
        report(5, load, ADAPTER);
        Set<AdapterReference> loading = new HashSet<>();
        IntStream.range(0, pendingLoads).forEach(number -> loading.add(AdapterReference.of("other-" + number, "1")));
        report(6, 0, Set.of(), loading);
        assertThat(router().route(request(ADAPTER))).map(Route::reason).contains(expected);
    }

    /*
     * Between two reports a target would look idle to an entry that sends it all requests, unless the entry counts the
     * requests that it has sent.
     */
    @Test
    void sentRequestsCountBeforeTheTargetReportsThem() {
        joinAll(16);
        report(5, 0, ADAPTER);
        Router router = router();
        Set<TargetId> usedTargets = new HashSet<>();
        for (int sent = 0; sent < 4 * CONCURRENCY_LIMIT; sent++) {
            Route route = router.route(request(ADAPTER)).orElseThrow();
            usedTargets.add(route.target());
            fleet.recordSent(route.target());
        }
        assertThat(usedTargets).hasSizeGreaterThan(1);
    }

    @Test
    void holdersShareTheRequestsOfAnAdapter() {
        joinAll(16);
        List.of(1, 5, 9).forEach(number -> report(number, 3, ADAPTER));
        Router router = router();
        Map<TargetId, Integer> counts = new HashMap<>();
        for (int sent = 0; sent < 18; sent++) {
            TargetId target = router.route(request(ADAPTER)).orElseThrow().target();
            fleet.recordSent(target);
            counts.merge(target, 1, Integer::sum);
        }
        assertThat(counts).containsOnlyKeys(id(1), id(5), id(9));
        assertThat(counts.values()).allMatch(count -> count >= 4);
    }

    @ParameterizedTest
    @CsvSource({"4, 4, true", "9, 4, false"})
    void ownFailureDomainIsPreferredUnlessItsTargetIsMoreLoaded(
            int ownDomainLoad, int otherDomainLoad, boolean prefersOwnDomain) {
        joinAll(2);
        report(0, ownDomainLoad, ADAPTER);
        report(1, otherDomainLoad, ADAPTER);
        RouterSettings settings =
                RouterSettings.of(RoutingWeights.fewestStalls()).withFailureDomain(FailureDomain.of("domain-0"));
        Router router = RoutingPolicy.AFFINITY.createRouter(
                fleet, TargetFilter.all(), PrefixDirectory.none(), settings, new Random(7));
        assertThat(router.route(request(ADAPTER))).map(Route::target).contains(prefersOwnDomain ? id(0) : id(1));
    }

    @ParameterizedTest
    @CsvSource({"4, true", "20, false"})
    void conversationReturnsToItsCachedPrefixUnlessThatTargetIsTooLoaded(int load, boolean returns) {
        joinAll(2);
        report(0, load, ADAPTER);
        report(1, 3, ADAPTER);
        DecayingPrefixDirectory prefixes = DecayingPrefixDirectory.create(clock, Duration.ofSeconds(60), 100);
        PrefixDigest prefix = PrefixDigest.of(ADAPTER, new byte[] {1, 2, 3});
        prefixes.onRequestEnded(prefix, id(0), true);
        Router router = Routers.of(RoutingPolicy.AFFINITY, fleet, TargetFilter.all(), prefixes);
        assertThat(router.route(request(ADAPTER).withPrefix(prefix)))
                .map(Route::target)
                .contains(returns ? id(0) : id(1));
    }

    @ParameterizedTest
    @CsvSource({"2, true", "3, false"})
    void noRouteIsFoundOnceTheHopLimitIsReached(int tried, boolean found) {
        joinAll(16);
        Set<TargetId> excluded = new HashSet<>();
        IntStream.range(0, tried).forEach(number -> excluded.add(id(number)));
        assertThat(router().route(request(ADAPTER).withExcluded(excluded)).isPresent())
                .isEqualTo(found);
    }
}
