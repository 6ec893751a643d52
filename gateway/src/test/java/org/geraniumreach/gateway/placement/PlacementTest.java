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
    private static final long PROMPT = 1_460;
    private static final Duration OBJECTIVE = Duration.ofMillis(800);
    private static final int TARGETS = 8;

    private static final double READ_IN_A_MILLI = 19.2;

    /** Tokens that a target reads in half a second, more than the wait below which nothing is loaded elsewhere. */
    private static final long LONG_READING = 9_600;

    private final VirtualTime time = new VirtualTime();
    private final TargetRegistry registry = new TargetRegistry(time);
    private int entries = 1;
    private final Placement one = placement();
    private final Placement other = placement();

    PlacementTest() {
        for (int number = 0; number < TARGETS; number++) {
            join("t" + number);
        }
        teach(one, READ_IN_A_MILLI);
        teach(other, READ_IN_A_MILLI);
    }

    private void teach(Placement placement, double tokensPerMilli) {
        long tokens = 2_000;
        Duration took = Duration.ofNanos((long) (tokens / tokensPerMilli * 1e6));
        for (int prompt = 0; prompt < 100; prompt++) {
            placement.recordPrefill(registry.all().iterator().next(), tokens, took);
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
                new InetSocketAddress("127.0.0.1", 1),
                domain,
                48,
                false,
                Optional.of(Duration.ZERO),
                Map.of(MODEL, Map.of())));
    }

    private static PlacementRequest need(AdapterName adapter, String session) {
        return need(adapter, session, Set.of());
    }

    private static PlacementRequest need(AdapterName adapter, String session, Set<TargetId> loaders) {
        return new PlacementRequest(
                "service",
                Optional.of(MODEL),
                Optional.of(adapter),
                0,
                0,
                session,
                PROMPT,
                OBJECTIVE,
                false,
                loaders,
                Set.of(),
                Set.of(),
                Set.of());
    }

    private Target homeOf(AdapterName adapter) {
        return ((PlacementDecision.Load) one.place(need(adapter, "s"))).target();
    }

    private Target anotherThan(Target target) {
        return registry.all().stream()
                .filter(each -> each != target)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void anAdapterThatIsNowhereIsLoadedAtTheSameTargetByAllEntries() {
        for (int number = 0; number < 50; number++) {
            AdapterName adapter = new AdapterName(MODEL, "a" + number);
            assertThat(one.place(need(adapter, "s"))).isEqualTo(other.place(need(adapter, "t")));
        }
    }

    // Callers of rare adapters waited for seconds after targets had come and gone: adapters that others held were
    // fetched again at their new homes, and filled the weight store. One holder is enough for a rare adapter.
    @Test
    void anAdapterThatIsHeldElsewhereIsNotLoadedAtItsHomeAsWell() {
        Target holder = anotherThan(homeOf(ADAPTER));
        holder.learnResident(ADAPTER, 1, time.nanos());
        PlacementDecision.Send send = (PlacementDecision.Send) one.place(need(ADAPTER, "s"));
        assertThat(send.target()).isEqualTo(holder);
        assertThat(send.alsoLoad()).isEmpty();
    }

    // The holder has half a second to read. A load elsewhere takes as long, and a share of the weight store from
    // callers
    // whose adapter is nowhere, so the request waits at the holder.
    @Test
    void aRequestWaitsAtACrowdedHolderRatherThanForALoadElsewhere() {
        Target holder = homeOf(ADAPTER);
        holder.learnResident(ADAPTER, 1, time.nanos());
        holder.sent(LONG_READING, time.nanos());
        PlacementDecision placed = one.place(need(ADAPTER, "s"));
        assertThat(placed).isInstanceOf(PlacementDecision.Send.class);
        assertThat(((PlacementDecision.Send) placed).target()).isEqualTo(holder);
    }

    @Test
    void anAdapterIsLoadedElsewhereOnceItsHolderIsCrowdedForLongerThanALoadTakes() {
        Target holder = homeOf(ADAPTER);
        holder.learnResident(ADAPTER, 1, time.nanos());
        holder.sent(3 * LONG_READING, time.nanos());
        PlacementDecision placed = one.place(need(ADAPTER, "s"));
        assertThat(placed).isInstanceOf(PlacementDecision.Load.class);
        assertThat(((PlacementDecision.Load) placed).target()).isNotEqualTo(holder);
    }

    // The same prompts ahead crowd a slow engine and not one that reads three times as fast; nobody tells an entry
    // which it
    // has. What a holder reads in time is not worth a second load.
    @Test
    void whatCrowdsATargetDependsOnHowFastItsKindReads() {
        Target holder = homeOf(ADAPTER);
        holder.learnResident(ADAPTER, 1, time.nanos());
        holder.sent(3 * LONG_READING, time.nanos());
        assertThat(one.place(need(ADAPTER, "s"))).isInstanceOf(PlacementDecision.Load.class);
        teach(one, 3 * READ_IN_A_MILLI);
        assertThat(one.place(need(ADAPTER, "s"))).isInstanceOf(PlacementDecision.Send.class);
    }

    // An adapter was fetched at two targets for one request: while the first one loaded it, other prompts crowded that
    // target,
    // and the next look asked another one.
    @Test
    void aRequestStaysWithTheTargetThatLoadsItsAdapter() {
        Target home = homeOf(ADAPTER);
        home.sent(4 * LONG_READING, time.nanos());
        assertThat(homeOf(ADAPTER)).isNotEqualTo(home);
        assertThat(one.place(need(ADAPTER, "s", Set.of(home.id())))).isEqualTo(new PlacementDecision.Load(home));
    }

    // Two entries had one adapter fetched at two targets: one of them saw the home crowded by prompts that are read by
    // the time the load is done.
    @Test
    void aHomeWithLittleToReadIsNotPassedOverForALoad() {
        Target home = homeOf(ADAPTER);
        home.sent(LONG_READING, time.nanos());
        assertThat(homeOf(ADAPTER)).isEqualTo(home);
    }

    // Streams of the commonest adapter's only home paused for over 300 ms on the heaviest days, beside targets that had
    // little to read. On a calm day a second home is a load and a place for nothing. The first rate is of one adapter,
    // the
    // second of all others together, both in prompts a second.
    @ParameterizedTest
    @CsvSource({"2, 4, 1", "2, 60, 2", "10, 4, 3", "10, 60, 7"})
    void aCommonAdapterHasMoreHomesTheMoreAllTargetsRead(int itsRate, int otherRate, int homes) {
        for (int second = 0; second < 30; second++) {
            ask(ADAPTER, itsRate);
            ask(new AdapterName(MODEL, "other"), otherRate);
            time.pass(Duration.ofSeconds(1));
        }
        assertThat(loadedHomes()).hasSize(homes);
    }

    /** Guards against fetches of rare adapters to several targets, which grow with the number of entries. */
    @ParameterizedTest
    @ValueSource(ints = {1, 33, 340})
    void aRareAdapterHasOneHomeHoweverManyEntriesThereAre(int count) {
        entries = count;
        assertThat(loadedHomes()).hasSize(1);
    }

    /** Guards against too few homes of a common adapter where each entry sees few of its requests. */
    @Test
    void aCommonAdapterHasSeveralHomesThoughEachEntrySeesFewOfItsRequests() {
        entries = 33;
        for (int second = 0; second < 30; second++) {
            ask(ADAPTER, 1);
            time.pass(Duration.ofSeconds(1));
        }
        assertThat(loadedHomes().size()).isBetween(5, TARGETS);
    }

    private void ask(AdapterName adapter, int times) {
        for (int number = 0; number < times; number++) {
            one.recordRequest(adapter, PROMPT);
        }
    }

    /** Has the adapter loaded wherever requests want it until none does. */
    private Set<Target> loadedHomes() {
        one.recordRequest(ADAPTER, PROMPT);
        Set<Target> homes = new HashSet<>();
        List<Target> wanted = new ArrayList<>(List.of(homeOf(ADAPTER)));
        while (!wanted.isEmpty()) {
            Target next = wanted.remove(0);
            next.learnResident(ADAPTER, 1, time.nanos());
            homes.add(next);
            ((PlacementDecision.Send) one.place(need(ADAPTER, "s"))).alsoLoad().ifPresent(wanted::add);
        }
        return homes;
    }

    private Placement restricted(TargetConditions conditions) {
        Placement placement = new Placement(
                registry, conditions, () -> 1, FailureDomain.of("here"), PlacementSettings.defaults(), time);
        teach(placement, READ_IN_A_MILLI);
        return placement;
    }

    private static TargetConditions evacuated(FailureDomain domain, Evacuations.Phase phase) {
        return new TargetConditions(
                target -> true,
                target -> true,
                asked -> asked.equals(domain) ? phase : Evacuations.Phase.IN_USE,
                target -> true);
    }

    private static final FailureDomain AWAY = FailureDomain.of("away");

    /** Guards against requests that reach an evacuated failure domain where its targets alone hold the adapter. */
    @Test
    void anAdapterThatOnlyAnEvacuatedDomainHoldsIsLoadedElsewhere() {
        join("away", AWAY);
        Target away = registry.find(TargetId.of("away")).orElseThrow();
        away.learnResident(ADAPTER, 1, time.nanos());
        PlacementDecision decision =
                restricted(evacuated(AWAY, Evacuations.Phase.EMPTY)).place(need(ADAPTER, "s"));
        assertThat(decision).isInstanceOf(PlacementDecision.Load.class);
        assertThat(((PlacementDecision.Load) decision).target().description().failureDomain())
                .isNotEqualTo(AWAY);
    }

    /** Guards against callers that wait for a load elsewhere while their adapter may still be used where it is. */
    @Test
    void anAdapterIsServedWhereItIsAndLoadedElsewhereWhileItsDomainIsEmptied() {
        join("away", AWAY);
        Target away = registry.find(TargetId.of("away")).orElseThrow();
        away.learnResident(ADAPTER, 1, time.nanos());
        PlacementDecision.Send send = (PlacementDecision.Send)
                restricted(evacuated(AWAY, Evacuations.Phase.EMPTYING)).place(need(ADAPTER, "s"));
        assertThat(send.target()).isSameAs(away);
        assertThat(send.alsoLoad()).isPresent();
        assertThat(send.alsoLoad().get().description().failureDomain()).isNotEqualTo(AWAY);
    }

    /** Guards against loads at targets that are about to get nothing more. */
    @Test
    void nothingIsLoadedInADomainThatIsEmptied() {
        PlacementDecision decision = restricted(evacuated(FailureDomain.of("here"), Evacuations.Phase.EMPTYING))
                .place(need(ADAPTER, "s"));
        assertThat(decision).isEqualTo(new PlacementDecision.Unplaceable(PlacementDecision.Reason.NO_HOLDER));
    }

    @ParameterizedTest
    @EnumSource(
            value = PlacementDecision.Reason.class,
            names = {"EVACUATED", "COLD"})
    void theReasonIsToldWhereNoTargetMayBeSentAnything(PlacementDecision.Reason reason) {
        boolean cold = reason == PlacementDecision.Reason.COLD;
        TargetConditions conditions = new TargetConditions(
                target -> true,
                target -> true,
                domain -> cold ? Evacuations.Phase.IN_USE : Evacuations.Phase.EMPTY,
                target -> !cold);
        assertThat(restricted(conditions).place(need(ADAPTER, "s")))
                .isEqualTo(new PlacementDecision.Unplaceable(reason));
    }

    /** Guards against requests that are placed again and again although a target has room for their prompts. */
    @Test
    void aRequestIsNotHeldBackWhereTheTargetThatHoldsItsAdapterHasRoomButTooMuchToRead() {
        Target home = homeOf(ADAPTER);
        home.learnResident(ADAPTER, 1, time.nanos());
        PlacementRequest need = new PlacementRequest(
                "service",
                Optional.of(MODEL),
                Optional.of(ADAPTER),
                0,
                0,
                "s",
                PROMPT,
                OBJECTIVE,
                true,
                Set.of(),
                Set.of(),
                Set.of(home.id()),
                Set.of());
        assertThat(one.place(need)).isNotInstanceOf(PlacementDecision.Defer.class);
    }

    /** Guards against the usual load of a target that must warm up. */
    @Test
    void aColdTargetThatMayBeSentNothingMoreIsPassedOver() {
        Target home = homeOf(ADAPTER);
        home.learnResident(ADAPTER, 1, time.nanos());
        TargetConditions conditions = new TargetConditions(
                target -> true, target -> true, domain -> Evacuations.Phase.IN_USE, target -> target != home);
        PlacementDecision decision = restricted(conditions).place(need(ADAPTER, "s"));
        assertThat(decision).isInstanceOf(PlacementDecision.Load.class);
        assertThat(((PlacementDecision.Load) decision).target()).isNotSameAs(home);
    }
}
