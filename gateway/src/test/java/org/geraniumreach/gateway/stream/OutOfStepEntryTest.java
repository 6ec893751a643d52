package org.geraniumreach.gateway.stream;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.SoftwareVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Takes streams up at an entry that is out of step with the others while targets of a new software version join. */
class OutOfStepEntryTest {

    private static final Duration LIFETIME = Duration.ofSeconds(60);
    private static final Duration STEP = Duration.ofMillis(100);
    private static final String OLD = "v1";
    private static final String NEW = "v2";
    private static final String OUT_OF_STEP = "entry-0";

    private final Map<StreamKey, SoftwareVersion> begun =
            new TreeMap<>((one, other) -> one.attempt().compareTo(other.attempt()));

    /** How the entry gets out of step. */
    enum Disturbance {
        NONE(entry -> {}, entry -> {}),
        CUT_FROM_STORE(entry -> entry.cutFromStore(true), entry -> entry.cutFromStore(false)),
        STOPPED(SimulatedEntries.Entry::freeze, SimulatedEntries.Entry::thaw);

        private final Consumer<SimulatedEntries.Entry> begin;
        private final Consumer<SimulatedEntries.Entry> end;

        Disturbance(Consumer<SimulatedEntries.Entry> begin, Consumer<SimulatedEntries.Entry> end) {
            this.begin = begin;
            this.end = end;
        }
    }

    /** What becomes of the old version's rows; its targets answer for a while longer. */
    enum OldVersion {
        STAYS,
        LEAVES_WITH_THE_NEW,
        LEAVES_BEFORE
    }

    private static Stream<Arguments> cases() {
        return Stream.of(2, 3, 4, 21).flatMap(entries -> Stream.of(Disturbance.values())
                .flatMap(disturbance -> Stream.of(true, false).flatMap(cutFromEntries -> Stream.of(OldVersion.values())
                        .map(old -> Arguments.of(entries, disturbance, cutFromEntries, old)))));
    }

    private static void put(SimulatedEntries world, String version) {
        List.of("a-", "b-").forEach(name -> world.putTarget(name + version, version));
    }

    private static void remove(SimulatedEntries world, String version) {
        List.of("a-", "b-").forEach(name -> world.removeTarget(name + version));
    }

    private static StreamKey key(int number) {
        return StreamKey.of(Optional.of(AccountId.of("acme")), String.format("stream-%05d", number))
                .orElseThrow();
    }

    private static void cut(SimulatedEntries world) {
        for (String other : world.names()) {
            world.entry(OUT_OF_STEP).cutTo(other);
            world.entry(other).cutTo(OUT_OF_STEP);
        }
    }

    /** Guards against a stream that goes on at another version at an entry that does not know of the new one yet. */
    @ParameterizedTest
    @MethodSource("cases")
    void aStreamNeverGoesOnAtAnotherVersionAtAnEntryOutOfStep(
            int entries, Disturbance disturbance, boolean cutFromEntries, OldVersion old) {
        for (long beforeMillis = 0; beforeMillis <= 3_000; beforeMillis += 250) {
            SimulatedEntries world = disturbedWorld(entries, disturbance, cutFromEntries);
            if (old == OldVersion.LEAVES_BEFORE) {
                remove(world, OLD);
            }
            world.advance(Duration.ofMillis(beforeMillis));
            if (old == OldVersion.LEAVES_WITH_THE_NEW) {
                remove(world, OLD);
            }
            put(world, NEW);
            for (int step = 0; step < 40; step++) {
                world.advance(STEP);
                beginAtOthers(world, step);
                if (disturbance != Disturbance.STOPPED) {
                    takeUpAll(world);
                }
            }
            disturbance.end.accept(world.entry(OUT_OF_STEP));
            takeUpAll(world);
            assertThat(begun.values()).extracting(SoftwareVersion::value).contains(NEW);
        }
    }

    /** Guards against the same at an entry that goes on before its rows count as old. */
    @ParameterizedTest
    @MethodSource("cases")
    void aStreamNeverGoesOnAtAnotherVersionAtAnEntryThatGoesOn(
            int entries, Disturbance disturbance, boolean cutFromEntries, OldVersion old) {
        for (long sinceNewMillis = 0; sinceNewMillis <= 2_500; sinceNewMillis += 100) {
            SimulatedEntries world = disturbedWorld(entries, disturbance, cutFromEntries);
            if (old != OldVersion.STAYS) {
                remove(world, OLD);
            }
            put(world, NEW);
            for (long passed = 0; passed < sinceNewMillis; passed += STEP.toMillis()) {
                world.advance(STEP);
                beginAtOthers(world, (int) passed);
            }
            disturbance.end.accept(world.entry(OUT_OF_STEP));
            takeUpAll(world);
        }
    }

    private SimulatedEntries disturbedWorld(int entries, Disturbance disturbance, boolean cutFromEntries) {
        begun.clear();
        SimulatedEntries world = new SimulatedEntries(entries);
        put(world, OLD);
        world.advance(Duration.ofSeconds(5).plusMillis(7));
        if (cutFromEntries) {
            cut(world);
        }
        disturbance.begin.accept(world.entry(OUT_OF_STEP));
        return world;
    }

    private void beginAtOthers(SimulatedEntries world, int number) {
        for (SimulatedEntries.Entry entry : world.readyEntries()) {
            if (entry == world.entry(OUT_OF_STEP)) {
                continue;
            }
            Optional<Target> target = entry.targets().stream()
                    .filter(each -> !entry.streams()
                            .heldVersions(SimulatedEntries.SERVICE)
                            .contains(each.description().softwareVersion()))
                    .reduce((first, last) -> last);
            target.ifPresent(at -> {
                begun.put(key(number), at.description().softwareVersion());
                entry.streams().begin(key(number), at, LIFETIME);
            });
            return;
        }
    }

    private void takeUpAll(SimulatedEntries world) {
        SimulatedEntries.Entry entry = world.entry(OUT_OF_STEP);
        begun.forEach((key, version) -> entry.streams()
                .resolve(Optional.of(key), SimulatedEntries.SERVICE, answer -> assertThat(
                                answer.origin().map(StreamOrigin::version).filter(other -> !other.equals(version)))
                        .as("origin of a stream that %s began", version)
                        .isEmpty()));
    }
}
