package org.geraniumreach.gateway.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.SoftwareVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Takes streams up again after all entries were killed at once while a service had two software versions. */
class KilledEntriesTest {

    private static final int ENTRIES = 5;
    private static final int STREAMS = 40;
    private static final Duration LIFETIME = Duration.ofSeconds(60);
    private static final String OLD = "v1";
    private static final String NEW = "v2";

    private final Map<StreamKey, SoftwareVersion> begun =
            new TreeMap<>((one, other) -> one.attempt().compareTo(other.attempt()));
    private int taken;

    /** What happens to the old version and to the store around the loss of all entries. */
    enum Loss {
        BOTH_VERSIONS_STAY(world -> {}, world -> {}, world -> {}),
        OLD_LEAVES_BEFORE(Loss::removeOld, world -> {}, world -> {}),
        OLD_LEAVES_WHILE_NO_ENTRY_RUNS(world -> {}, Loss::removeOld, world -> {}),
        OLD_LEAVES_AFTER_THE_START(world -> {}, world -> {}, Loss::removeOld),
        NEW_LEAVES_WHILE_NO_ENTRY_RUNS(world -> {}, world -> remove(world, NEW), world -> {}),
        STORE_AWAY_BEFORE(world -> world.setStoreAvailable(false), world -> {}, world -> world.setStoreAvailable(true)),
        STORE_AWAY_AFTER(world -> {}, world -> world.setStoreAvailable(false), world -> world.setStoreAvailable(true)),
        OLD_ROWS_LAPSE_AND_RETURN(world -> {}, Loss::removeOld, world -> world.putTarget("a-" + OLD, OLD)),
        OLD_VERSION_RETURNS_UNDER_THE_NAMES_OF_THE_NEW(
                world -> {}, world -> world.putTarget("a-" + NEW, OLD), world -> {});

        private final Consumer<SimulatedEntries> before;
        private final Consumer<SimulatedEntries> between;
        private final Consumer<SimulatedEntries> after;

        Loss(Consumer<SimulatedEntries> before, Consumer<SimulatedEntries> between, Consumer<SimulatedEntries> after) {
            this.before = before;
            this.between = between;
            this.after = after;
        }

        private static void removeOld(SimulatedEntries world) {
            remove(world, OLD);
        }

        private static void remove(SimulatedEntries world, String version) {
            world.removeTarget("a-" + version);
            world.removeTarget("b-" + version);
        }
    }

    private static void startVersion(SimulatedEntries world, String version) {
        world.putTarget("a-" + version, version);
        world.putTarget("b-" + version, version);
    }

    private static StreamKey key(int number) {
        return StreamKey.of(Optional.of(AccountId.of("acme")), "stream-" + number)
                .orElseThrow();
    }

    private void begin(SimulatedEntries world, String entry, int number, SplittableRandom random) {
        List<Target> targets = new ArrayList<>(world.entry(entry).targets());
        targets.removeIf(target -> world.entry(entry)
                .streams()
                .heldVersions(SimulatedEntries.SERVICE)
                .contains(target.description().softwareVersion()));
        if (targets.isEmpty()) {
            return;
        }
        Target target = targets.get(random.nextInt(targets.size()));
        begun.put(key(number), target.description().softwareVersion());
        world.begin(entry, key(number), target.id().value(), LIFETIME);
    }

    private void takeUpAll(SimulatedEntries world, SplittableRandom random) {
        List<String> names = List.copyOf(world.names());
        begun.forEach((key, version) -> {
            Optional<StreamOrigin> origin =
                    world.resume(names.get(random.nextInt(names.size())), key).origin();
            assertThat(origin.map(StreamOrigin::version).filter(other -> !other.equals(version)))
                    .as("origin of a stream that %s began", version)
                    .isEmpty();
            taken += origin.isPresent() ? 1 : 0;
        });
    }

    private static void restartAll(SimulatedEntries world, Duration stagger) {
        restart(world, 0, stagger);
    }

    private static void restart(SimulatedEntries world, int survivors, Duration stagger) {
        List.copyOf(world.names()).stream().skip(survivors).forEach(name -> {
            world.start(name);
            world.advance(stagger);
        });
    }

    /** Guards against text that is joined from two software versions, whose origin no entry remembers. */
    @ParameterizedTest
    @EnumSource(Loss.class)
    void aStreamNeverGoesOnAtAnotherVersionAfterTheLossOfAllEntries(Loss loss) {
        for (Duration sinceBeginning : List.of(Duration.ZERO, Duration.ofMillis(1), Duration.ofSeconds(4))) {
            for (Duration stagger : List.of(Duration.ZERO, Duration.ofMillis(300), Duration.ofSeconds(3))) {
                begun.clear();
                SplittableRandom random = new SplittableRandom(7);
                SimulatedEntries world = new SimulatedEntries(ENTRIES);
                startVersion(world, OLD);
                world.advance(Duration.ofSeconds(5));
                startVersion(world, NEW);
                world.advance(Duration.ofSeconds(5));
                for (int number = 0; number < STREAMS; number++) {
                    begin(world, "entry-" + number % ENTRIES, number, random);
                }
                world.advance(sinceBeginning);
                loss.before.accept(world);
                world.advance(sinceBeginning);
                world.killAll();
                loss.between.accept(world);
                restartAll(world, stagger);
                takeUpAll(world, random);
                loss.after.accept(world);
                world.advance(Duration.ofSeconds(5));
                takeUpAll(world, random);
                assertThat(begun.values()).extracting(SoftwareVersion::value).contains(OLD, NEW);
            }
        }
    }

    /** Guards against the same after releases, losses and outages that nobody has thought of together. */
    @ParameterizedTest
    @ValueSource(longs = {1, 1_001, 2_001, 3_001})
    void aStreamNeverGoesOnAtAnotherVersionWhateverHappened(long firstSeed) {
        for (long seed = firstSeed; seed < firstSeed + 50; seed++) {
            begun.clear();
            SplittableRandom random = new SplittableRandom(seed);
            SimulatedEntries world = new SimulatedEntries(ENTRIES);
            startVersion(world, OLD);
            world.advance(Duration.ofSeconds(5));
            for (int step = 0; step < 30; step++) {
                disturb(world, random);
                world.advance(Duration.ofMillis(random.nextInt(2_000)));
                String entry = "entry-" + random.nextInt(ENTRIES);
                if (world.entry(entry).isReady()) {
                    begin(world, entry, step, random);
                }
            }
            boolean oneSurvives = random.nextInt(3) == 0;
            List.copyOf(world.names()).stream().skip(oneSurvives ? 1 : 0).forEach(world::kill);
            disturb(world, random);
            restart(world, oneSurvives ? 1 : 0, Duration.ofMillis(random.nextInt(2_000)));
            takeUpAll(world, random);
            world.setStoreAvailable(true);
            world.advance(Duration.ofSeconds(random.nextInt(20)));
            takeUpAll(world, random);
        }
        assertThat(taken).isPositive();
    }

    private static void disturb(SimulatedEntries world, SplittableRandom random) {
        String version = "v" + (1 + random.nextInt(random.nextInt(1, 4)));
        String target = (random.nextBoolean() ? "a-" : "b-") + version;
        switch (random.nextInt(6)) {
            case 0 -> startVersion(world, version);
            case 1 -> world.removeTarget(target);
            case 2 -> world.putTarget(target, version);
            case 3 -> world.setStoreAvailable(random.nextBoolean());
            case 4 -> {
                world.killAll();
                restartAll(world, Duration.ofMillis(random.nextInt(500)));
            }
            default -> world.advance(Duration.ofSeconds(random.nextInt(5)));
        }
    }
}
