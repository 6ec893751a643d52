package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that one entry at a time orders a target, whichever entries lapse. */
class LapsedLeaseTest {

    private static final Duration CALM = Duration.ofSeconds(10);
    private static final Duration OVERLAP = Duration.ofMillis(100);
    private static final int TARGETS = 4;

    /** The owners' retry of a renewal, the delay of the store, and a second to go on. */
    private static final Duration RECOVERY = Duration.ofMillis(3_000);

    /** Guards against an owner that is replaced while its lease has lapsed, and orders with its old token once it may renew it. */
    @ParameterizedTest
    @CsvSource({
        "6600, 9000, SILENT, false",
        "6600, 9000, ANSWERS_LOST, false",
        "6600, 9000, REFUSED, false",
        "6600, 9000, SILENT, true",
        "0, 7900, SILENT, false",
        "0, 8100, SILENT, false",
        "0, 11200, SILENT, false",
        "0, 11400, SILENT, false",
        "0, 20000, SILENT, false",
        "0, 20000, ANSWERS_LOST, false",
        "7900, 0, SILENT, false",
        "8100, 0, SILENT, true",
        "11200, 0, SILENT, false",
        "11400, 0, SILENT, true",
        "11400, 0, SILENT, false",
        "13000, 0, SILENT, true",
        "13000, 8100, SILENT, true",
        "20000, 15000, SILENT, false"
    })
    void anOwnerThatWasReplacedMeanwhileOrdersNothing(
            long freezeMillis, long refusalMillis, OwnerFleet.Refusal refusal, boolean clockStops) {
        for (int entryCount : List.of(2, 3, 21)) {
            OwnerFleet fleet = new OwnerFleet(entryCount, TARGETS);
            fleet.advance(CALM);
            for (int round = 0; round < 2; round++) {
                OwnerFleet.Entry owner = fleet.lastOwner();
                if (freezeMillis > 0) {
                    owner.freeze(Duration.ofMillis(freezeMillis), clockStops);
                    fleet.advance(Duration.ofMillis(freezeMillis).minus(OVERLAP));
                }
                owner.refuse(Duration.ofMillis(refusalMillis), refusal);
                fleet.advance(Duration.ofMillis(refusalMillis).plus(CALM));
            }
            assertThat(fleet.violations()).isEmpty();
            assertThat(fleet.isEachTargetOrderedWithin(OVERLAP)).isTrue();
        }
    }

    /** Guards against two owners after disturbances that follow on one another and overlap, in an order that nobody has thought of. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 21})
    void oneEntryAtATimeOrdersATargetThroughAnyDisturbances(int entryCount) {
        for (long seed = 1; seed <= 12; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            OwnerFleet fleet = new OwnerFleet(entryCount, TARGETS);
            fleet.advance(CALM);
            for (int disturbance = 0; disturbance < 20; disturbance++) {
                disturb(fleet, random);
                fleet.advance(Duration.ofMillis(random.nextInt(6_000)));
            }
            fleet.advance(Duration.ofSeconds(40));
            assertThat(fleet.violations()).as("seed " + seed).isEmpty();
            assertThat(fleet.isEachTargetOrderedWithin(OVERLAP))
                    .as("seed " + seed)
                    .isTrue();
        }
    }

    private static void disturb(OwnerFleet fleet, SplittableRandom random) {
        OwnerFleet.Entry entry = random.nextBoolean()
                ? fleet.lastOwner()
                : fleet.entries().get(random.nextInt(fleet.entries().size()));
        Duration duration = Duration.ofMillis(random.nextInt(16_000));
        OwnerFleet.Refusal[] refusals = OwnerFleet.Refusal.values();
        OwnerFleet.Refusal refusal = refusals[random.nextInt(refusals.length)];
        switch (random.nextInt(4)) {
            case 0 -> entry.freeze(duration, random.nextBoolean());
            case 1 -> entry.stepWallClock(Duration.ofMillis(random.nextInt(-5_000, 5_000)));
            case 2 -> fleet.entries().forEach(each -> each.refuse(duration, refusal));
            default -> entry.refuse(duration, refusal);
        }
    }

    /** Guards against owners that stay idle after the store's return, and against a storm of readings by all entries. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 21, 100})
    void ownersThatWereNotReplacedGoOnSoonAfterOneReadingEach(int entryCount) {
        OwnerFleet fleet = new OwnerFleet(entryCount, TARGETS);
        fleet.advance(CALM);
        Duration outage = Duration.ofSeconds(14);
        fleet.entries().forEach(entry -> entry.refuse(outage, OwnerFleet.Refusal.REFUSED));
        fleet.advance(outage);
        int readsBefore = fleet.fleetReads();
        fleet.advance(RECOVERY);
        assertThat(fleet.isEachTargetOrderedWithin(OVERLAP)).isTrue();
        assertThat(fleet.violations()).isEmpty();
        assertThat(fleet.fleetReads() - readsBefore).isLessThanOrEqualTo(entryCount);
    }

    /** Guards against calls to the store that a lease which never lapses does not need. */
    @Test
    void entriesThatDoNotLapseReadNothingMore() {
        OwnerFleet fleet = new OwnerFleet(3, TARGETS);
        fleet.advance(CALM);
        int readsBefore = fleet.fleetReads();
        fleet.advance(Duration.ofMinutes(5));
        assertThat(fleet.fleetReads()).isEqualTo(readsBefore);
    }
}
