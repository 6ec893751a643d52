package org.geraniumreach.gateway.speed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.geraniumreach.gateway.adapter.HolderRow;
import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Slowdown;
import org.geraniumreach.gateway.port.TargetSignals;
import org.geraniumreach.gateway.testing.TestTargets;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Simulates entries that send few prompts to each of many targets, which differ in speed and slow down for short times. */
class LearntTargetSpeedsTest {

    private static final Duration LINK_DELAY = Duration.ofMillis(2);
    private static final double STEP_MILLIS = 8.2;
    private static final double STEPS_PER_EVENT = 4;
    private static final Duration STREAM_TIME = Duration.ofMillis(1_500);
    private static final double STREAMS_PER_SECOND = 0.25;

    /** How much slower a full batch generates than a single request. */
    private static final double MAXIMUM_BATCH_EXCESS = 0.15;

    private static final double MEAN_EXCESS = 0.8;
    private static final long HOLD_NANOS = Duration.ofMillis(600).toNanos();
    private static final double SLOW_FRACTION = 0.15;
    private static final double SLOW_FACTOR = 2.5;
    private static final double TOLERANCE = 0.25;

    /** Until then a rate may be that of its first publication, which rests on a dozen samples. */
    private static final int SETTLING_SECONDS = 10;

    private final VirtualTime time = new VirtualTime();
    private final Map<String, Entry> entries = new TreeMap<>();
    private final List<TargetId> targets = new ArrayList<>();
    private final Map<TargetId, Double> trueRates = new TreeMap<>();
    private final Set<String> cutOff = new HashSet<>();
    private final Map<TargetId, List<Long>> publications = new TreeMap<>();
    private Random random = new Random(1);

    /** The fraction of the streams whose usual interval contains pauses or a slowdown. */
    private double slowStreamFraction = 0.3;

    private boolean figuresReported = true;
    private boolean alwaysInEffect;
    private long nextVersion = 5;
    private int reports;
    private int speedChanges;

    private final class Entry implements SpeedPeers {
        private final String name;
        private final TargetRegistry registry = new TargetRegistry(time);
        private final Lease lease = new Lease(time, time::wallMillis);
        private final TargetOwnership ownership;
        private final LearntTargetSpeeds speeds;

        private Entry(String name) {
            this.name = name;
            this.ownership = new TargetOwnership(name, 1, lease, time);
            this.speeds =
                    new LearntTargetSpeeds(ownership, registry, alwaysInEffect, time, time, (event, id, fields) -> {
                        assertThat(event).isEqualTo(EventCode.TARGET_SPEED_CHANGED);
                        speedChanges++;
                    });
            registry.addListener(speeds);
            speeds.setPeers(this);
            renewLease();
        }

        private void renewLease() {
            lease.onRenewed(lease.startRenewal(), 0);
            time.schedule(Duration.ofSeconds(2), this::renewLease);
        }

        private Target target(TargetId id) {
            return registry.find(id).orElseThrow();
        }

        private TargetSpeed speed(TargetId id) {
            return speeds.speedOf(target(id));
        }

        private boolean reaches(String other) {
            return !cutOff.contains(name) && !cutOff.contains(other);
        }

        @Override
        public boolean sendReport(String owner, Target target, SpeedReport report) {
            if (!reaches(owner)) {
                return false;
            }
            reports++;
            long startedAt = target.description().startedAt();
            time.schedule(LINK_DELAY, () -> entries.get(owner).speeds.onReport(target.id(), startedAt, report));
            return true;
        }

        @Override
        public void publish(Target target, double relativeRate) {
            publications
                    .computeIfAbsent(target.id(), missing -> new ArrayList<>())
                    .add(time.nanos());
            entries.values().stream()
                    .filter(entry -> entry != this && reaches(entry.name))
                    .forEach(entry -> sendRate(entry, target, relativeRate));
        }

        private void sendRate(Entry receiver, Target target, double relativeRate) {
            long startedAt = target.description().startedAt();
            time.schedule(LINK_DELAY, () -> receiver.speeds.onPublished(target.id(), startedAt, relativeRate));
        }

        private void onLinkOpened(Entry other) {
            speeds.forEachOwnRate((target, relativeRate) -> sendRate(other, target, relativeRate));
        }

        private void runStream(TargetId id) {
            Target sentTo = target(id);
            double slower = random.nextDouble() < slowStreamFraction ? 1 + exponential(MEAN_EXCESS) : 1;
            double batchFactor = 1 + MAXIMUM_BATCH_EXCESS * random.nextDouble();
            double millis = STEPS_PER_EVENT * STEP_MILLIS * batchFactor * slower / trueRates.get(id);
            Duration interval = Duration.ofNanos((long) (millis * 1e6));
            time.schedule(STREAM_TIME, () -> {
                Optional<Slowdown> slowdown =
                        figuresReported ? Optional.of(new Slowdown(figure(id))) : Optional.empty();
                report(sentTo, slowdown);
                speeds.onStream(sentTo, new PaceSample(interval));
            });
        }

        private void report(Target target, Optional<Slowdown> slowdown) {
            speeds.onCall(target).accept(new TargetSignals(Optional.empty(), Optional.empty(), false, true, slowdown));
        }
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** Gets the figure of a target, which changes at the same times for all entries. */
    private double figure(TargetId id) {
        long period = (time.nanos() + Math.floorMod(id.value().hashCode() * 7_919L, HOLD_NANOS)) / HOLD_NANOS;
        return new Random(id.value().hashCode() * 31L + period * 1_000_003L).nextDouble() < SLOW_FRACTION
                ? SLOW_FACTOR
                : 1;
    }

    private void start(int entryCount, int targetCount, double... groupRates) {
        for (int index = 0; index < targetCount; index++) {
            TargetId id = TargetId.of("t" + index);
            targets.add(id);
            trueRates.put(id, groupRates[index % groupRates.length]);
        }
        for (int index = 0; index < entryCount; index++) {
            startEntry("entry" + index);
        }
        for (int index = 0; index < targetCount; index++) {
            setOwner(targets.get(index), "entry" + index % entryCount);
        }
    }

    private Entry startEntry(String name) {
        Entry entry = new Entry(name);
        targets.forEach(id -> entry.registry.put(TestTargets.describe(id, 1)));
        entries.put(name, entry);
        return entry;
    }

    private void setOwner(TargetId id, String owner) {
        RowKey key = RowKey.of(TargetOwnership.FLEET_TABLE, "holder/" + id.value());
        Row row = new Row(key, nextVersion++, new HolderRow(owner, 1).toText());
        entries.values().forEach(entry -> entry.ownership.updateHolder(key.key(), Optional.of(row)));
    }

    private void run(Duration duration) {
        Duration step = Duration.ofMillis(20);
        for (long elapsed = 0; elapsed < duration.toNanos(); elapsed += step.toNanos()) {
            for (Entry entry : entries.values()) {
                targets.stream()
                        .filter(id -> random.nextDouble() < STREAMS_PER_SECOND * step.toMillis() / 1_000)
                        .forEach(entry::runStream);
            }
            time.advance(step);
        }
    }

    private double truth(TargetId id) {
        double mean = trueRates.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElseThrow();
        return trueRates.get(id) / mean;
    }

    private void assertRatesNearTruth(Entry entry) {
        for (TargetId id : targets) {
            assertThat(entry.speed(id).relativeRate() / truth(id))
                    .as("%s at %s", id, entry.name)
                    .isCloseTo(1, within(TOLERANCE));
        }
    }

    /** Checks that the median target of each group is slower than that of the next group. */
    private void assertGroupsOrdered(Entry entry) {
        Map<Double, List<Double>> learntByTrueRate = new TreeMap<>();
        targets.forEach(id -> learntByTrueRate
                .computeIfAbsent(trueRates.get(id), missing -> new ArrayList<>())
                .add(entry.speed(id).relativeRate()));
        List<Double> medians = learntByTrueRate.values().stream()
                .map(rates -> rates.stream().sorted().toList().get(rates.size() / 2))
                .toList();
        for (int group = 1; group < medians.size(); group++) {
            assertThat(medians.get(group)).as(entry.name).isGreaterThan(medians.get(group - 1));
        }
    }

    /** Checks that each target of a group is slower than each of the next groups. */
    private void assertTargetsOrdered(Entry entry) {
        for (TargetId slower : targets) {
            for (TargetId faster : targets) {
                if (trueRates.get(slower) < trueRates.get(faster)) {
                    assertThat(entry.speed(slower).relativeRate())
                            .as("%s and %s at %s", slower, faster, entry.name)
                            .isLessThan(entry.speed(faster).relativeRate());
                }
            }
        }
    }

    /**
     * Guards against treating all targets as equally fast, and against a group that is taken for another one. The first streams end after 1.5 s and
     * are reported within 0.5 s; the rates are to be known 5 s later.
     */
    @ParameterizedTest
    @CsvSource({
        "1, 7, 0, 0.6, 1, 1.6",
        "2, 7, 0, 0.6, 1, 1.6",
        "3, 7, 0, 0.6, 1, 1.6",
        "4, 7, 0, 0.6, 0.6, 1.6",
        "5, 7, 0, 0.6, 1.6, 1.6",
        "6, 7, 0, 1, 1, 1",
        "7, 10, 0.3, 0.6, 1, 1.6",
        "8, 10, 0.3, 0.6, 0.6, 1.6",
        "9, 10, 0.3, 0.6, 1.6, 1.6",
        "10, 10, 0.3, 1, 1, 1"
    })
    void allEntriesKnowTheRates(
            long seed, int seconds, double fractionThatWaits, double first, double second, double third) {
        random = new Random(seed);
        slowStreamFraction = fractionThatWaits;
        start(29, 36, first, second, third);
        run(Duration.ofSeconds(seconds));
        time.advance(LINK_DELAY);
        entries.values().forEach(entry -> {
            assertRatesNearTruth(entry);
            assertGroupsOrdered(entry);
            if (seconds >= SETTLING_SECONDS) {
                assertTargetsOrdered(entry);
            }
        });
    }

    /** Guards against home targets that move with each few samples. */
    @ParameterizedTest
    @CsvSource({"1", "2"})
    void ratesSettleAndAreSeldomPublished(long seed) {
        random = new Random(seed);
        start(29, 36, 0.6, 1, 1.6);
        run(Duration.ofSeconds(10));
        int changesBefore = speedChanges;
        run(Duration.ofSeconds(20));
        assertThat(speedChanges - changesBefore).isLessThan(targets.size());
        entries.values().forEach(this::assertRatesNearTruth);
        publications.values().forEach(times -> {
            for (int index = 1; index < times.size(); index++) {
                assertThat(times.get(index) - times.get(index - 1))
                        .isGreaterThanOrEqualTo(LearntTargetSpeeds.MINIMUM_PUBLICATION_INTERVAL.toNanos());
            }
        });
    }

    /** Guards against rates that drift when the fast targets get most of the prompts, as placement by speed intends. */
    @Test
    void ratesDoNotDependOnWhichTargetsGetThePrompts() {
        start(29, 36, 0.6, 1, 1.6);
        run(Duration.ofSeconds(5));
        for (int step = 0; step < 750; step++) {
            for (Entry entry : entries.values()) {
                targets.stream()
                        .filter(id -> random.nextDouble() < 0.005 * Math.pow(trueRates.get(id), 2))
                        .forEach(entry::runStream);
            }
            time.advance(Duration.ofMillis(20));
        }
        entries.values().forEach(this::assertRatesNearTruth);
    }

    /** Guards against messages and decisions by speed in deployments that did not ask for them. */
    @Test
    void nothingIsLearntOrSentWithoutFigures() {
        figuresReported = false;
        start(3, 3, 0.6, 1, 1.6);
        run(Duration.ofSeconds(20));
        entries.values()
                .forEach(entry ->
                        targets.forEach(id -> assertThat(entry.speed(id)).isEqualTo(TargetSpeed.UNKNOWN)));
        assertThat(reports).isZero();
        assertThat(publications).isEmpty();
    }

    @Test
    void ratesAreLearntWithoutFiguresIfTheDeploymentAsks() {
        figuresReported = false;
        alwaysInEffect = true;
        start(29, 36, 0.6, 1, 1.6);
        run(Duration.ofSeconds(10));
        assertTargetsOrdered(entries.get("entry0"));
        assertThat(entries.get("entry0").speed(targets.get(0)).slowdown()).isEqualTo(1);
    }

    /** Guards against rates that start again from 1, or that differ between entries, when the owner of a target changes. */
    @Test
    void aNewOwnerStartsFromWhatWasPublished() {
        start(29, 36, 0.6, 1, 1.6);
        run(Duration.ofSeconds(5));
        TargetId slow = targets.get(0);
        double published = entries.get("entry7").speed(slow).relativeRate();
        setOwner(slow, "entry5");
        run(Duration.ofMillis(500));
        entries.values()
                .forEach(entry -> assertThat(entry.speed(slow).relativeRate()).isCloseTo(published, within(1e-9)));
        run(Duration.ofSeconds(5));
        entries.values().forEach(this::assertRatesNearTruth);
    }

    /** Guards against losing what is known when an owner ends, and against samples that are kept without bound. */
    @Test
    void theLastRateStaysInEffectWithoutAnOwner() {
        start(29, 36, 0.6, 1, 1.6);
        run(Duration.ofSeconds(5));
        double published = entries.get("entry7").speed(targets.get(0)).relativeRate();
        cutOff.add("entry0");
        run(Duration.ofSeconds(10));
        assertThat(entries.get("entry7").speed(targets.get(0)).relativeRate()).isEqualTo(published);
        cutOff.remove("entry0");
        run(Duration.ofSeconds(5));
        assertThat(entries.get("entry7").speed(targets.get(0)).relativeRate() / truth(targets.get(0)))
                .isCloseTo(1, within(TOLERANCE));
    }

    /** Guards against an entry that never learns the rates since it was cut off when they were published. */
    @Test
    void aLostUpdateIsSentAgainWhenTheLinkOpens() {
        start(29, 36, 0.6, 1, 1.6);
        cutOff.add("entry28");
        run(Duration.ofSeconds(5));
        Entry late = entries.get("entry28");
        assertThat(late.speed(targets.get(0)).relativeRate()).isEqualTo(1);
        cutOff.remove("entry28");
        entries.values().stream().filter(entry -> entry != late).forEach(entry -> entry.onLinkOpened(late));
        time.advance(LINK_DELAY);
        assertThat(late.speed(targets.get(0)))
                .extracting(TargetSpeed::relativeRate)
                .isEqualTo(entries.get("entry0").speed(targets.get(0)).relativeRate());
    }

    /** Guards against losing the rates that arrive at a new entry before the rows of the targets do. */
    @Test
    void ratesThatArriveBeforeTheTargetsAreKept() {
        start(2, 1, 1);
        Entry started = new Entry("started");
        started.speeds.onPublished(targets.get(0), 1, 0.66);
        started.registry.put(TestTargets.describe(targets.get(0), 1));
        assertThat(started.speed(targets.get(0))).isEqualTo(new TargetSpeed(0.66, 1, true));
    }

    /** Guards against ascribing the speed of a former incarnation, perhaps on another machine, to a restarted target. */
    @Test
    void aRestartedTargetStartsFromTheMean() {
        start(29, 36, 0.6, 1, 1.6);
        run(Duration.ofSeconds(5));
        TargetId restarted = targets.get(0);
        entries.values().forEach(entry -> entry.registry.put(TestTargets.describe(restarted, 2)));
        entries.get("entry7").speeds.onPublished(restarted, 1, 0.3);
        entries.values().forEach(entry -> assertThat(entry.speed(restarted)).isEqualTo(TargetSpeed.UNKNOWN));
        trueRates.put(restarted, 1.6);
        run(Duration.ofSeconds(6));
        assertThat(entries.get("entry7").speed(restarted).relativeRate() / truth(restarted))
                .isCloseTo(1, within(TOLERANCE));
    }

    /** Guards against pacing by the figures of one entry alone, which are mostly too old. */
    @Test
    void theOwnerKnowsTheNewestFigureOfAllEntries() {
        start(2, 1, 1);
        run(Duration.ofSeconds(10));
        time.advance(Duration.ofSeconds(5));
        Entry other = entries.get("entry1");
        other.report(other.target(targets.get(0)), Optional.of(new Slowdown(20)));
        time.advance(LearntTargetSpeeds.REPORT_DELAY.plus(LINK_DELAY));
        assertThat(entries.get("entry0").speed(targets.get(0)).slowdown()).isGreaterThan(10);
    }

    /** Guards against decisions by a former figure after an answer whose figure was malformed. */
    @Test
    void answersWithoutAFigureChangeNothing() {
        start(1, 1, 1);
        Entry entry = entries.get("entry0");
        entry.report(entry.target(targets.get(0)), Optional.of(new Slowdown(2)));
        TargetSpeed before = entry.speed(targets.get(0));
        entry.report(entry.target(targets.get(0)), Optional.empty());
        assertThat(entry.speed(targets.get(0))).isEqualTo(before).isEqualTo(new TargetSpeed(1, 2, true));
    }

    /** Guards against a fleet that exchanges a message for each call of a service without prompts. */
    @Test
    void theFiguresOfAServiceWithoutPromptsStayLocal() {
        start(2, 1, 1);
        Entry other = entries.get("entry1");
        for (int call = 0; call < 100; call++) {
            other.report(other.target(targets.get(0)), Optional.of(new Slowdown(2)));
            time.advance(Duration.ofMillis(20));
        }
        assertThat(reports).isZero();
        assertThat(other.speed(targets.get(0)).slowdown()).isGreaterThan(1.5);
    }

    /** Guards against samples of departed targets that are kept for ever and distort the rates of the others. */
    @Test
    void streamsThatOutlastTheRowOfTheirTargetAreIgnored() {
        alwaysInEffect = true;
        start(1, 2, 1);
        Entry entry = entries.get("entry0");
        Target departed = entry.target(targets.get(0));
        Target remaining = entry.target(targets.get(1));
        entry.registry.removeEnded(departed);
        for (int stream = 0; stream < 64; stream++) {
            entry.speeds.onStream(departed, new PaceSample(Duration.ofMillis(330)));
            entry.speeds.onStream(remaining, new PaceSample(Duration.ofMillis(33)));
            time.advance(Duration.ofMillis(100));
        }
        assertThat(entry.speed(targets.get(1)).relativeRate()).isEqualTo(1);
    }

    /** Guards against a ranking by other rates than those that the waits are estimated with. */
    @Test
    void theRelativeRateIsThatOfTheSpeed() {
        start(3, 6, 0.6, 1, 1.6);
        Entry entry = entries.get("entry0");
        targets.forEach(
                id -> assertThat(entry.speeds.relativeRateOf(entry.target(id))).isEqualTo(1));
        run(Duration.ofSeconds(30));
        assertThat(speedChanges).isPositive();
        targets.forEach(id -> assertThat(entry.speeds.relativeRateOf(entry.target(id)))
                .isEqualTo(entry.speed(id).relativeRate()));
    }
}
