package org.geraniumreach.gateway.placement;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.geraniumreach.gateway.speed.TargetSpeed;
import org.geraniumreach.gateway.speed.TargetSpeeds;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.routing.Rendezvous;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Uses targets whose relative rates are 0.6, 1 and 1.6 in turn. */
class UnevenTargetsTest {

    private static final double[] RATES = {0.6, 1, 1.6};
    private static final String MODEL = "base";
    private static final FailureDomain HERE = FailureDomain.of("here");
    private static final Duration OBJECTIVE = Duration.ofMillis(603);

    private final VirtualTime time = new VirtualTime();
    private final Random random = new Random(1);
    private final Map<TargetId, TargetSpeed> speeds = new HashMap<>();

    private TargetRegistry registry(int count, int slots, Map<String, Map<String, Long>> models) {
        TargetRegistry registry = new TargetRegistry(time);
        for (int number = 0; number < count; number++) {
            TargetId id = TargetId.of("t" + number);
            registry.put(new TargetDescription(
                    id,
                    1,
                    "service",
                    SoftwareVersion.of("v1"),
                    new InetSocketAddress("127.0.0.1", 1),
                    HERE,
                    slots,
                    false,
                    Optional.of(Duration.ZERO),
                    models));
        }
        return registry;
    }

    private TargetSpeed speedOf(Target target) {
        return speeds.getOrDefault(target.id(), TargetSpeed.UNKNOWN);
    }

    private void setUnevenSpeeds(TargetRegistry registry, double slowdown) {
        int number = 0;
        for (Target target : registry.findByService("service")) {
            speeds.put(target.id(), new TargetSpeed(RATES[number++ % RATES.length], slowdown, true));
        }
    }

    private Placement placement(TargetRegistry registry, TargetSpeeds known) {
        return new Placement(
                registry,
                TargetConditions.unrestricted(),
                known,
                new EntryContext(() -> 29, HERE, random::nextDouble),
                PlacementSettings.defaults(),
                time);
    }

    private static PlacementRequest request(Optional<AdapterName> adapter, String affinityKey, long promptTokens) {
        return new PlacementRequest(
                "service",
                adapter.map(named -> MODEL),
                adapter,
                0,
                0,
                Optional.empty(),
                affinityKey,
                promptTokens,
                OBJECTIVE,
                false,
                Set.of(),
                Set.of(),
                Set.of(),
                Set.of(),
                VersionRule.ANY,
                Optional.empty());
    }

    /** Guards against moving the homes of all adapters where no speeds are known, or where all are equal. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 1, 1.6})
    void equalWeightsKeepTheOrderOfUnweightedHashing(double weight) {
        List<Target> targets = registry(36, 64, Map.of()).findByService("service");
        double[] weights = new double[targets.size()];
        Arrays.fill(weights, weight);
        for (int key = 0; key < 500; key++) {
            int hash = Rendezvous.hash("a" + key);
            List<Target> expected = new ArrayList<>(targets);
            expected.sort((left, right) ->
                    Integer.compare(Rendezvous.score(hash, right.hash()), Rendezvous.score(hash, left.hash())));
            assertThat(new TargetRanking(TargetSpeeds.uniform()).rank("a" + key, targets))
                    .isEqualTo(expected);
            assertThat(TargetRanking.rankWeighted(hash, targets, weights)).isEqualTo(expected);
        }
    }

    /** Guards against homes that do not follow the rates, and against homes that move with a momentary slowdown. */
    @Test
    void targetsAreHomesInProportionToTheirRateWhateverTheirSlowdown() {
        TargetRegistry registry = registry(36, 64, Map.of());
        List<Target> targets = registry.findByService("service");
        TargetRanking ranking = new TargetRanking(this::speedOf);
        double[] homes = new double[RATES.length];
        int keys = 20_000;
        for (int key = 0; key < keys; key++) {
            setUnevenSpeeds(registry, 1);
            List<Target> usual = ranking.rank("a" + key, targets);
            setUnevenSpeeds(registry, 2.5);
            assertThat(ranking.rank("a" + key, targets)).isEqualTo(usual);
            homes[Arrays.binarySearch(RATES, speedOf(usual.get(0)).relativeRate())] += 1.0 / keys;
        }
        for (int index = 0; index < RATES.length; index++) {
            assertThat(homes[index]).isCloseTo(RATES[index] / 3.2, within(0.03));
        }
    }

    /** Guards against loads at different targets by entries that see a flickering slowdown at different times. */
    @ParameterizedTest
    @ValueSource(longs = {400, 1_100, 3_790})
    void aSlowdownMovesNoLoadOfAMissingAdapter(long promptTokens) {
        TargetRegistry registry = registry(36, 64, Map.of(MODEL, Map.of()));
        Placement placement = placement(registry, this::speedOf);
        for (int number = 0; number < 300; number++) {
            PlacementRequest request = request(Optional.of(new AdapterName(MODEL, "a" + number)), "s", promptTokens);
            setUnevenSpeeds(registry, 1);
            PlacementDecision usual = placement.place(request);
            setUnevenSpeeds(registry, 2.5);
            assertThat(placement.place(request)).isEqualTo(usual).isInstanceOf(PlacementDecision.Load.class);
        }
    }

    /** Guards against equally long waits being assumed at targets of different speed. */
    @ParameterizedTest
    @CsvSource({"0.6, 1, 166", "1, 1, 100", "1.6, 1, 62", "1, 2.5, 250", "1.6, 2.5, 156"})
    void theExpectedWaitFollowsTheCurrentRate(double relativeRate, double slowdown, long millis) {
        TargetRegistry registry = registry(1, 64, Map.of(MODEL, Map.of()));
        Target target = registry.findByService("service").get(0);
        speeds.put(target.id(), new TargetSpeed(relativeRate, slowdown, true));
        Placement placement = placement(registry, this::speedOf);
        assertThat(placement.expectedWaitMillis(target, request(Optional.empty(), "s", 1_500)))
                .isEqualTo(millis);
    }

    /** Guards against a rate of the service that depends on which of its targets answered. */
    @Test
    void theRateOfTheServiceIsLearntIndependentlyOfTheSpeedOfTheTargets() {
        TargetRegistry registry = registry(1, 64, Map.of());
        Target target = registry.findByService("service").get(0);
        speeds.put(target.id(), new TargetSpeed(1.6, 2, true));
        Placement placement = placement(registry, this::speedOf);
        for (int prompt = 0; prompt < 64; prompt++) {
            placement.recordPrefill(target, 2_000, Duration.ofMillis(125));
        }
        assertThat(placement.netPrefillTokensPerMilli("service")).isCloseTo(20, within(0.01));
    }

    /** Guards against entries that all send to the target that was best in their equally old views. */
    @ParameterizedTest
    @ValueSource(ints = {100, 500, 1_000})
    void noHerdOfEntriesLoadsOneTargetOfAPlainService(int reportMillis) {
        List<TargetRegistry> registries = new ArrayList<>();
        List<Placement> entries = new ArrayList<>();
        for (int entry = 0; entry < 29; entry++) {
            TargetRegistry registry = registry(3, 6, Map.of());
            registries.add(registry);
            entries.add(placement(registry, this::speedOf));
        }
        speeds.put(TargetId.of("t0"), new TargetSpeed(1, 2.5, true));
        speeds.put(TargetId.of("t1"), new TargetSpeed(1, 1, true));
        speeds.put(TargetId.of("t2"), new TargetSpeed(1, 1, true));
        Map<TargetId, Integer> running = new HashMap<>();
        Map<TargetId, Integer> sent = new HashMap<>();
        int calls = 4_000;
        for (int call = 0; call < calls; call++) {
            int entry = random.nextInt(entries.size());
            PlacementDecision.Send send =
                    (PlacementDecision.Send) entries.get(entry).place(request(Optional.empty(), "c" + call, 0));
            Target target = send.target();
            sent.merge(target.id(), 1, Integer::sum);
            running.merge(target.id(), 1, Integer::sum);
            target.onRequestSent(0, time.nanos());
            double millis = 100 * speedOf(target).slowdown();
            time.schedule(Duration.ofMillis((long) millis), () -> {
                running.merge(target.id(), -1, Integer::sum);
                target.onRequestEnded();
            });
            time.advance(Duration.ofMillis(10));
            if (call * 10 % reportMillis == 0) {
                for (TargetRegistry seen : registries) {
                    seen.all().forEach(each -> each.onLoadReport(running.getOrDefault(each.id(), 0), 0, time.nanos()));
                }
            }
        }
        sent.forEach((id, count) -> {
            double fairPart = 1 / speeds.get(id).slowdown() / 2.4;
            assertThat((double) count / calls).isLessThan(1.5 * fairPart);
        });
    }
}
