package org.geraniumreach.gateway.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.SoftwareVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ResumableStreamsTest {

    private static final Duration LIFETIME = Duration.ofSeconds(30);
    private static final SoftwareVersion ONE = SoftwareVersion.of("v1");
    private static final SoftwareVersion TWO = SoftwareVersion.of("v2");
    private static final int STREAMS = 60;

    private final SimulatedEntries world = new SimulatedEntries(6);

    /** What happens to the entry that began a stream, or to all, before its caller takes it up elsewhere. */
    private enum Loss {
        NOTHING(fleet -> {}),
        KILLED(fleet -> fleet.kill("entry-0")),
        RESTARTED(fleet -> {
            fleet.kill("entry-0");
            fleet.start("entry-0");
        }),
        FROZEN(fleet -> fleet.entry("entry-0").freeze()),
        CUT_ONE_WAY(fleet -> fleet.names().forEach(fleet.entry("entry-0")::cutTo)),
        TWO_KILLED(fleet -> {
            fleet.kill("entry-0");
            fleet.kill("entry-1");
        }),
        RESTARTED_IN_TURN(fleet -> fleet.names().stream().toList().forEach(name -> {
            fleet.kill(name);
            fleet.start(name);
            fleet.advance(Duration.ofSeconds(2));
        }));

        private final Consumer<SimulatedEntries> action;

        Loss(Consumer<SimulatedEntries> action) {
            this.action = action;
        }
    }

    private static StreamKey key(String attempt) {
        return new StreamKey(Optional.of(AccountId.of("acme")), attempt);
    }

    private void startVersions(String... versions) {
        for (String version : versions) {
            world.putTarget("a-" + version, version);
            world.putTarget("b-" + version, version);
            world.advance(Duration.ofSeconds(5));
        }
    }

    /** Guards against streams that are refused, or go on at another version, after the loss of the entry that began them. */
    @ParameterizedTest
    @EnumSource(Loss.class)
    void originSurvivesTheLossOfTheBeginningEntry(Loss loss) {
        startVersions("v1", "v2", "v3");
        for (int number = 0; number < STREAMS; number++) {
            world.begin("entry-0", key("stream-" + number), "a-v" + (1 + number % 3), LIFETIME);
        }
        loss.action.accept(world);
        int known = 0;
        for (int number = 0; number < STREAMS; number++) {
            Optional<StreamOrigin> origin = world.resume("entry-" + (2 + number % 4), key("stream-" + number))
                    .origin();
            SoftwareVersion began = SoftwareVersion.of("v" + (1 + number % 3));
            assertThat(origin.map(StreamOrigin::version).filter(version -> !version.equals(began)))
                    .isEmpty();
            known += origin.isPresent() ? 1 : 0;
        }
        assertThat(known).isGreaterThanOrEqualTo(STREAMS / 2);
    }

    /** Guards against an entry that has just started, or all of them, taking a stream that it does not know for one of a version. */
    @Test
    void originIsNotGuessedAfterAllEntriesHaveRestarted() {
        startVersions("v1", "v2");
        world.begin("entry-0", key("stream"), "a-v2", LIFETIME);
        world.killAll();
        world.names().stream().toList().forEach(world::start);
        world.advance(Duration.ofSeconds(5));
        assertThat(world.resume("entry-1", key("stream")).source()).isEqualTo(OriginAnswer.Source.NOT_KNOWN);
    }

    /** Guards against messages and waits while a service has one version. */
    @Test
    void oneVersionNeedsNoMessages() {
        startVersions("v1");
        int before = world.messages();
        for (int number = 0; number < STREAMS; number++) {
            Recording recording = world.entry("entry-0")
                    .streams()
                    .begin(key("stream-" + number), world.entry("entry-0").target("a-v1"), LIFETIME);
            assertThat(recording.isConfirmed()).isTrue();
            List<OriginAnswer> answers = new ArrayList<>();
            world.entry("entry-1").streams().resolve(Optional.of(key("stream-" + number)), "service", answers::add);
            assertThat(answers).extracting(OriginAnswer::source).containsExactly(OriginAnswer.Source.SOLE_VERSION);
        }
        assertThat(world.messages()).isEqualTo(before);
    }

    /** Guards against callers who are refused at an entry that has restarted while a service has one version. */
    @Test
    void oneVersionIsKnownToEntriesThatHaveJustStarted() {
        startVersions("v1");
        world.begin("entry-0", key("stream"), "a-v1", LIFETIME);
        world.killAll();
        world.names().stream().toList().forEach(world::start);
        assertThat(world.resume("entry-1", key("stream")).origin().map(StreamOrigin::version))
                .contains(ONE);
    }

    /** Guards against losing the streams that began before a second version came. */
    @Test
    void originsFromBeforeASecondVersionAreTold() {
        startVersions("v1");
        for (int number = 0; number < STREAMS; number++) {
            world.begin("entry-0", key("stream-" + number), "a-v1", LIFETIME);
        }
        startVersions("v2");
        world.kill("entry-0");
        for (int number = 0; number < STREAMS; number++) {
            assertThat(world.resume("entry-1", key("stream-" + number)).origin().map(StreamOrigin::version))
                    .contains(ONE);
        }
    }

    /** Guards against an entry without news that takes streams of a new version for those of the old one. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anEntryThatIsCutOffFromTheStoreDoesNotTakeANewVersionForTheOldOne(boolean restarts) {
        startVersions("v1");
        world.entry("entry-5").cutFromStore(true);
        world.putTarget("a-v2", "v2");
        SimulatedEntries.Entry informed = world.entry("entry-0");
        boolean begun = false;
        for (int step = 0; step < 100; step++) {
            world.advance(Duration.ofMillis(100));
            begun |= informed.targets().stream()
                            .anyMatch(target ->
                                    target.description().softwareVersion().equals(TWO))
                    && !informed.versions().heldVersions("service").contains(TWO);
            if (begun) {
                world.begin("entry-0", key("stream-" + step), "a-v2", LIFETIME);
                Optional<StreamOrigin> origin =
                        world.resume("entry-5", key("stream-" + step)).origin();
                assertThat(origin.map(StreamOrigin::version)).isNotEqualTo(Optional.of(ONE));
            }
            if (restarts && step == 50) {
                world.kill("entry-0");
                world.start("entry-0");
                informed = world.entry("entry-0");
                begun = false;
            }
        }
        assertThat(begun).isTrue();
    }

    /** Guards against an entry that was suspended without its steady clock counting it, and trusts rows from before. */
    @ParameterizedTest
    @ValueSource(longs = {3_000, -3_000})
    void rowsFromBeforeASuspensionAreNotTrusted(long stepMillis) {
        startVersions("v1");
        ServiceVersions versions = world.entry("entry-0").versions();
        assertThat(versions.soleVersion("service")).contains(ONE);
        world.time().stepWallClock(Duration.ofMillis(stepMillis));
        assertThat(versions.soleVersion("service")).isEmpty();
        world.advance(Duration.ofSeconds(1));
        assertThat(versions.soleVersion("service")).contains(ONE);
    }

    /** Guards against a version that has left while an entry was away, whose streams the entry would take for those of the new one. */
    @Test
    void aVersionThatHasLeftIsRememberedByEntriesThatStartLater() {
        startVersions("v1", "v2");
        world.killAll();
        world.removeTarget("a-v1");
        world.removeTarget("b-v1");
        world.names().stream().toList().forEach(world::start);
        world.advance(Duration.ofSeconds(5));
        assertThat(world.entry("entry-1").versions().soleVersion("service")).isEmpty();
        world.advance(ServiceVersions.RETENTION.plusSeconds(5));
        assertThat(world.entry("entry-1").versions().soleVersion("service")).contains(TWO);
    }

    /** Guards against a new version that is not used for longer than an entry may not know of it, although no other is left. */
    @Test
    void aNewVersionIsUsedOnceAllEntriesKnowItIfNoOtherIsLeft() {
        startVersions("v1");
        world.removeTarget("a-v1");
        world.removeTarget("b-v1");
        world.putTarget("a-v2", "v2");
        world.advance(Duration.ofMillis(900));
        assertThat(world.entry("entry-0").versions().heldVersions("service")).contains(TWO);
        world.advance(ServiceVersions.ADOPTION_DELAY.plusMillis(500));
        assertThat(world.entry("entry-0").versions().heldVersions("service")).isEmpty();
    }

    /** Guards against a new version that is not used although no entry can take the old one for the only one any more. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aNewVersionIsUsedAtOnceIfTheOthersHaveLeftBefore(boolean storeWritable) {
        startVersions("v1");
        world.removeTarget("a-v1");
        world.removeTarget("b-v1");
        world.advance(ServiceVersions.MAXIMUM_ROW_AGE.plusSeconds(2));
        world.putTarget("a-v2", "v2");
        world.setCommitting(storeWritable);
        world.advance(Duration.ofMillis(900));
        assertThat(world.entry("entry-0").versions().heldVersions("service")).isEmpty();
    }

    /** Guards against a service that stops for as long as the list of its versions cannot be written. */
    @Test
    void aNewVersionIsUsedThoughItCannotBeListedIfNoOtherIsLeft() {
        startVersions("v1");
        world.setCommitting(false);
        world.removeTarget("a-v1");
        world.removeTarget("b-v1");
        world.putTarget("a-v2", "v2");
        world.advance(ServiceVersions.ADOPTION_DELAY.plusMillis(1_400));
        assertThat(world.entry("entry-0").versions().heldVersions("service")).isEmpty();
    }

    /** Guards against origins that are lost because an outage of the store makes the sole version uncertain. */
    @Test
    void originsAreKnownDuringAnOutageOfTheStore() {
        startVersions("v1");
        world.begin("entry-0", key("before"), "a-v1", LIFETIME);
        world.setStoreAvailable(false);
        world.advance(Duration.ofSeconds(4));
        world.begin("entry-0", key("during"), "a-v1", LIFETIME);
        world.kill("entry-0");
        assertThat(world.resume("entry-1", key("before")).origin()).isPresent();
        assertThat(world.resume("entry-1", key("during")).origin()).isPresent();
    }

    /** Guards against the knowledge of one client account reaching another one that uses the same attempt id. */
    @Test
    void originIsNotToldToAnotherAccount() {
        startVersions("v1", "v2");
        world.begin("entry-0", key("stream"), "a-v1", LIFETIME);
        StreamKey other = new StreamKey(Optional.of(AccountId.of("other")), "stream");
        assertThat(world.resume("entry-0", other).origin()).isEmpty();
        assertThat(world.resume("entry-1", other).origin()).isEmpty();
    }

    /** Guards against the second return of a caller finding less than the first. */
    @Test
    void aStreamIsTakenUpRepeatedly() {
        startVersions("v1", "v2");
        world.begin("entry-0", key("stream"), "a-v2", LIFETIME);
        for (String entry : List.of("entry-1", "entry-2", "entry-3", "entry-4")) {
            world.kill("entry-0");
            assertThat(world.resume(entry, key("stream")).origin().map(StreamOrigin::version))
                    .contains(TWO);
        }
    }

    /** Guards against a stream whose first target failed before its first event being taken for one of that target's version. */
    @Test
    void theLastTargetThatWasTriedCounts() {
        startVersions("v1", "v2");
        world.begin("entry-0", key("stream"), "a-v1", LIFETIME);
        world.begin("entry-0", key("stream"), "a-v2", LIFETIME);
        world.kill("entry-0");
        assertThat(world.resume("entry-1", key("stream")).origin().map(StreamOrigin::version))
                .contains(TWO);
    }

    /** Guards against a stream that reached a target after it had started again, being taken for one of the version before. */
    @ParameterizedTest
    @CsvSource({"a-v1, false, true", "a-v1, true, true", "a-v2, false, false", "a-v2, true, false"})
    void aTargetThatStartsAgainWithAnotherVersionLeavesTheOriginUnknown(
            String target, boolean rowLapses, boolean changesVersion) {
        startVersions("v1", "v2");
        world.begin("entry-0", key("long-before"), target, LIFETIME);
        world.advance(Duration.ofSeconds(5));
        world.begin("entry-0", key("just-before"), target, LIFETIME);
        if (rowLapses) {
            world.removeTarget(target);
            world.advance(Duration.ofSeconds(2));
        }
        world.putTarget(target, "v2");
        world.advance(Duration.ofSeconds(2));
        SoftwareVersion before = changesVersion ? ONE : TWO;
        for (String entry : List.of("entry-0", "entry-3")) {
            assertThat(world.resume(entry, key("long-before")).origin().map(StreamOrigin::version))
                    .contains(before);
            assertThat(world.resume(entry, key("just-before")).origin().isPresent())
                    .isNotEqualTo(changesVersion);
        }
    }

    /** Guards against unbounded memory. */
    @Test
    void originsAreForgottenAfterTheirTimeAndBeyondABound() {
        startVersions("v1");
        for (int number = 0; number < StreamOrigins.MAXIMUM_RECORDS + 10; number++) {
            world.entry("entry-0")
                    .streams()
                    .begin(key("stream-" + number), world.entry("entry-0").target("a-v1"), LIFETIME);
        }
        assertThat(world.entry("entry-0").streams().knownStreams()).isEqualTo(StreamOrigins.MAXIMUM_RECORDS);
        world.advance(LIFETIME.plusSeconds(1));
        assertThat(world.entry("entry-0").streams().knownStreams()).isZero();
    }
}
