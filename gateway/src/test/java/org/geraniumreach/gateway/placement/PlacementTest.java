package org.geraniumreach.gateway.placement;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.gateway.evacuation.Evacuations;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementTest {

    private static final String MODEL = "base";
    private static final AdapterName ADAPTER = new AdapterName(MODEL, "a1");
    private static final long PROMPT_TOKENS = 1_460;
    private static final Duration OBJECTIVE = Duration.ofMillis(800);
    private static final int TARGET_COUNT = 8;

    private static final double TOKENS_PER_MILLI = 19.2;

    /** The prefill work of half a second: enough to overload a target, too little to load its adapter elsewhere. */
    private static final long HALF_SECOND_TOKENS = 9_600;

    private final VirtualTime time = new VirtualTime();
    private final TargetRegistry registry = new TargetRegistry(time);
    private int entries = 1;
    private final Placement entry = placement();
    private final Placement otherEntry = placement();

    PlacementTest() {
        for (int number = 0; number < TARGET_COUNT; number++) {
            join("t" + number);
        }
        trainPrefillRate(entry, TOKENS_PER_MILLI);
        trainPrefillRate(otherEntry, TOKENS_PER_MILLI);
    }

    private void trainPrefillRate(Placement placement, double tokensPerMilli) {
        long tokens = 2_000;
        Duration timeToFirstPart = Duration.ofNanos((long) (tokens / tokensPerMilli * 1e6));
        for (int prompt = 0; prompt < 100; prompt++) {
            placement.recordPrefill(registry.all().iterator().next(), tokens, timeToFirstPart);
        }
    }

    private Placement placement() {
        return new Placement(
                registry,
                TargetConditions.unrestricted(),
                () -> entries,
                FailureDomain.of("here"),
                PlacementSettings.defaults(),
                time);
    }

    private void join(String name) {
        join(name, FailureDomain.of("here"));
    }

    private void join(String name, FailureDomain domain) {
        registry.put(new TargetDescription(
                TargetId.of(name),
                1,
                "service",
                SoftwareVersion.of("v1"),
                new InetSocketAddress("127.0.0.1", 1),
                domain,
                48,
                false,
                Optional.of(Duration.ZERO),
                Map.of(MODEL, Map.of())));
    }

    private static PlacementRequest request(AdapterName adapter, String session) {
        return request(adapter, session, Set.of());
    }

    private static PlacementRequest request(AdapterName adapter, String session, Set<TargetId> loadingTargets) {
        return new PlacementRequest(
                "service",
                Optional.of(MODEL),
                Optional.of(adapter),
                0,
                0,
                Optional.empty(),
                session,
                PROMPT_TOKENS,
                OBJECTIVE,
                false,
                loadingTargets,
                Set.of(),
                Set.of(),
                Set.of(),
                VersionRule.ANY,
                Optional.empty());
    }

    private Target loadTarget(AdapterName adapter) {
        return ((PlacementDecision.Load) entry.place(request(adapter, "s"))).target();
    }

    private Target anyOtherThan(Target target) {
        return registry.all().stream()
                .filter(candidate -> candidate != target)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void allEntriesLoadAMissingAdapterAtTheSameTarget() {
        for (int number = 0; number < 50; number++) {
            AdapterName adapter = new AdapterName(MODEL, "a" + number);
            assertThat(entry.place(request(adapter, "s"))).isEqualTo(otherEntry.place(request(adapter, "t")));
        }
    }

    // If adapters that other targets hold were fetched again at their new homes whenever targets join or leave, the
    // weight store would be overloaded and callers of rare adapters would wait for seconds. A rare adapter needs only
    // one holder.
    @Test
    void anAdapterResidentElsewhereIsNotLoadedAtItsHome() {
        Target holder = anyOtherThan(loadTarget(ADAPTER));
        holder.learnResident(ADAPTER, 1, time.nanos());
        PlacementDecision.Send send = (PlacementDecision.Send) entry.place(request(ADAPTER, "s"));
        assertThat(send.target()).isEqualTo(holder);
        assertThat(send.alsoLoad()).isEmpty();
    }

    // The holder has half a second of prefill pending. A load elsewhere takes as long, and takes weight store
    // bandwidth from callers whose adapter is not resident anywhere.
    @Test
    void aRequestWaitsAtAnOverloadedHolderRatherThanForALoadElsewhere() {
        Target holder = loadTarget(ADAPTER);
        holder.learnResident(ADAPTER, 1, time.nanos());
        holder.onRequestSent(HALF_SECOND_TOKENS, time.nanos());
        PlacementDecision decision = entry.place(request(ADAPTER, "s"));
        assertThat(decision).isInstanceOf(PlacementDecision.Send.class);
        assertThat(((PlacementDecision.Send) decision).target()).isEqualTo(holder);
    }

    @Test
    void anAdapterIsLoadedElsewhereIfItsHolderIsOverloadedForLongerThanALoadTakes() {
        Target holder = loadTarget(ADAPTER);
        holder.learnResident(ADAPTER, 1, time.nanos());
        holder.onRequestSent(3 * HALF_SECOND_TOKENS, time.nanos());
        PlacementDecision decision = entry.place(request(ADAPTER, "s"));
        assertThat(decision).isInstanceOf(PlacementDecision.Load.class);
        assertThat(((PlacementDecision.Load) decision).target()).isNotEqualTo(holder);
    }

    // The same pending prompts overload a slow engine but not one with three times its prefill rate. An entry can
    // only learn the rate from answers.
    @Test
    void overloadDependsOnTheObservedPrefillRate() {
        Target holder = loadTarget(ADAPTER);
        holder.learnResident(ADAPTER, 1, time.nanos());
        holder.onRequestSent(3 * HALF_SECOND_TOKENS, time.nanos());
        assertThat(entry.place(request(ADAPTER, "s"))).isInstanceOf(PlacementDecision.Load.class);
        trainPrefillRate(entry, 3 * TOKENS_PER_MILLI);
        assertThat(entry.place(request(ADAPTER, "s"))).isInstanceOf(PlacementDecision.Send.class);
    }

    // If other prompts overload the target while it loads the adapter, placing the request again must not start a
    // second load at another target.
    @Test
    void aRequestStaysWithTheTargetThatLoadsItsAdapter() {
        Target home = loadTarget(ADAPTER);
        home.onRequestSent(4 * HALF_SECOND_TOKENS, time.nanos());
        assertThat(loadTarget(ADAPTER)).isNotEqualTo(home);
        assertThat(entry.place(request(ADAPTER, "s", Set.of(home.id())))).isEqualTo(new PlacementDecision.Load(home));
    }

    // If an entry passed over the home because of prompts that are processed by the time the load completes, two
    // entries could fetch the same adapter at two targets.
    @Test
    void aHomeWithFewPendingPromptsIsNotPassedOverForALoad() {
        Target home = loadTarget(ADAPTER);
        home.onRequestSent(HALF_SECOND_TOKENS, time.nanos());
        assertThat(loadTarget(ADAPTER)).isEqualTo(home);
    }

    // With a single home for the most popular adapter, its streams stall for over 300 ms under heavy load while other
    // targets are nearly idle. Under light load a second home wastes a load and a slot. The rates, in prompts per
    // second, are those of the adapter and of all others together.
    @ParameterizedTest
    @CsvSource({"2, 4, 1", "2, 60, 2", "10, 4, 3", "10, 60, 7"})
    void aPopularAdapterHasMoreHomesUnderHigherUtilization(int adapterRate, int otherRate, int homes) {
        for (int second = 0; second < 30; second++) {
            recordRequests(ADAPTER, adapterRate);
            recordRequests(new AdapterName(MODEL, "other"), otherRate);
            time.advance(Duration.ofSeconds(1));
        }
        assertThat(loadedHomes()).hasSize(homes);
    }

    /**
     * Guards against loads of a rare adapter at several targets, whose number would grow with the number of entries.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 33, 340})
    void aRareAdapterHasOneHomeForAnyNumberOfEntries(int entryCount) {
        entries = entryCount;
        assertThat(loadedHomes()).hasSize(1);
    }

    /** Guards against too few homes of a popular adapter if each entry receives few of its requests. */
    @Test
    void aPopularAdapterHasSeveralHomesEvenIfEachEntryReceivesFewOfItsRequests() {
        entries = 33;
        for (int second = 0; second < 30; second++) {
            recordRequests(ADAPTER, 1);
            time.advance(Duration.ofSeconds(1));
        }
        assertThat(loadedHomes().size()).isBetween(5, TARGET_COUNT);
    }

    private void recordRequests(AdapterName adapter, int times) {
        for (int number = 0; number < times; number++) {
            entry.recordRequest(adapter, PROMPT_TOKENS);
        }
    }

    /** Loads the adapter at each target that placement requests until it requests no more. */
    private Set<Target> loadedHomes() {
        entry.recordRequest(ADAPTER, PROMPT_TOKENS);
        Set<Target> homes = new HashSet<>();
        List<Target> requested = new ArrayList<>(List.of(loadTarget(ADAPTER)));
        while (!requested.isEmpty()) {
            Target next = requested.remove(0);
            next.learnResident(ADAPTER, 1, time.nanos());
            homes.add(next);
            ((PlacementDecision.Send) entry.place(request(ADAPTER, "s")))
                    .alsoLoad()
                    .ifPresent(requested::add);
        }
        return homes;
    }

    private Placement restricted(TargetConditions conditions) {
        Placement placement = new Placement(
                registry, conditions, () -> 1, FailureDomain.of("here"), PlacementSettings.defaults(), time);
        trainPrefillRate(placement, TOKENS_PER_MILLI);
        return placement;
    }

    private static TargetConditions evacuated(FailureDomain domain, Evacuations.Phase phase) {
        return new TargetConditions(
                target -> true,
                target -> true,
                queried -> queried.equals(domain) ? phase : Evacuations.Phase.IN_USE,
                target -> true,
                target -> Duration.ZERO,
                target -> Duration.ZERO,
                target -> false);
    }

    private static final FailureDomain OTHER_DOMAIN = FailureDomain.of("away");

    /** Guards against requests to an evacuated failure domain if only its targets hold the adapter. */
    @Test
    void anAdapterResidentOnlyInAnEvacuatedDomainIsLoadedElsewhere() {
        join("away", OTHER_DOMAIN);
        Target away = registry.find(TargetId.of("away")).orElseThrow();
        away.learnResident(ADAPTER, 1, time.nanos());
        PlacementDecision decision =
                restricted(evacuated(OTHER_DOMAIN, Evacuations.Phase.DRAINED)).place(request(ADAPTER, "s"));
        assertThat(decision).isInstanceOf(PlacementDecision.Load.class);
        assertThat(((PlacementDecision.Load) decision).target().description().failureDomain())
                .isNotEqualTo(OTHER_DOMAIN);
    }

    /** Guards against callers waiting for a load elsewhere while the holder of their adapter may still be used. */
    @Test
    void anAdapterInADomainBeingEmptiedIsServedThereAndLoadedElsewhere() {
        join("away", OTHER_DOMAIN);
        Target away = registry.find(TargetId.of("away")).orElseThrow();
        away.learnResident(ADAPTER, 1, time.nanos());
        PlacementDecision.Send send = (PlacementDecision.Send)
                restricted(evacuated(OTHER_DOMAIN, Evacuations.Phase.DRAINING)).place(request(ADAPTER, "s"));
        assertThat(send.target()).isSameAs(away);
        assertThat(send.alsoLoad()).isPresent();
        assertThat(send.alsoLoad().get().description().failureDomain()).isNotEqualTo(OTHER_DOMAIN);
    }

    /** Guards against loads at targets that will soon receive no more requests. */
    @Test
    void nothingIsLoadedInADomainBeingEmptied() {
        PlacementDecision decision = restricted(evacuated(FailureDomain.of("here"), Evacuations.Phase.DRAINING))
                .place(request(ADAPTER, "s"));
        assertThat(decision).isEqualTo(new PlacementDecision.Unplaceable(PlacementDecision.Reason.NO_HOLDER));
    }

    @ParameterizedTest
    @EnumSource(
            value = PlacementDecision.Reason.class,
            names = {"EVACUATED", "COLD"})
    void theReasonIsReportedIfNoTargetMayReceiveRequests(PlacementDecision.Reason reason) {
        boolean cold = reason == PlacementDecision.Reason.COLD;
        TargetConditions conditions = new TargetConditions(
                target -> true,
                target -> true,
                domain -> cold ? Evacuations.Phase.IN_USE : Evacuations.Phase.DRAINED,
                target -> !cold,
                target -> Duration.ZERO,
                target -> Duration.ZERO,
                target -> false);
        assertThat(restricted(conditions).place(request(ADAPTER, "s")))
                .isEqualTo(new PlacementDecision.Unplaceable(reason));
    }

    /** Guards against requests that are deferred repeatedly although a target has capacity for their prompts. */
    @Test
    void aRequestIsNotDeferredIfTheSaturatedHolderHasNoPrefillDelay() {
        Target home = loadTarget(ADAPTER);
        home.learnResident(ADAPTER, 1, time.nanos());
        PlacementRequest request = new PlacementRequest(
                "service",
                Optional.of(MODEL),
                Optional.of(ADAPTER),
                0,
                0,
                Optional.empty(),
                "s",
                PROMPT_TOKENS,
                OBJECTIVE,
                true,
                Set.of(),
                Set.of(),
                Set.of(home.id()),
                Set.of(),
                VersionRule.ANY,
                Optional.empty());
        assertThat(entry.place(request)).isNotInstanceOf(PlacementDecision.Defer.class);
    }

    /** Guards against requests that begin at an older version once it may no longer be used, since they wait long at its target. */
    @ParameterizedTest
    @CsvSource({"-1, false", "0, false", "1, false", "60000, true"})
    void anOlderVersionIsUsedOnlyIfTheRequestBeginsInTime(long leftMillis, boolean used) {
        Target home = loadTarget(ADAPTER);
        home.learnResident(ADAPTER, 1, time.nanos());
        PlacementRequest request = new PlacementRequest(
                "service",
                Optional.of(MODEL),
                Optional.of(ADAPTER),
                1,
                2,
                Optional.of(Duration.ofMillis(leftMillis)),
                "s",
                PROMPT_TOKENS,
                OBJECTIVE,
                false,
                Set.of(),
                Set.of(),
                Set.of(),
                Set.of(),
                VersionRule.ANY,
                Optional.empty());
        assertThat(entry.expectedWaitMillis(home, request)).isPositive();
        assertThat(entry.place(request) instanceof PlacementDecision.Send).isEqualTo(used);
        home.learnResident(ADAPTER, 2, time.nanos());
        assertThat(entry.place(request)).isInstanceOf(PlacementDecision.Send.class);
    }

    /** Guards against sending the full load to a target that is warming up. */
    @Test
    void aColdTargetAtItsRequestLimitIsPassedOver() {
        Target home = loadTarget(ADAPTER);
        home.learnResident(ADAPTER, 1, time.nanos());
        TargetConditions conditions = new TargetConditions(
                target -> true,
                target -> true,
                domain -> Evacuations.Phase.IN_USE,
                target -> target != home,
                target -> Duration.ZERO,
                target -> Duration.ZERO,
                target -> false);
        PlacementDecision decision = restricted(conditions).place(request(ADAPTER, "s"));
        assertThat(decision).isInstanceOf(PlacementDecision.Load.class);
        assertThat(((PlacementDecision.Load) decision).target()).isNotSameAs(home);
    }
}
