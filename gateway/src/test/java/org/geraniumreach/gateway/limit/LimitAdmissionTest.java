package org.geraniumreach.gateway.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.division.EqualDivision;
import org.geraniumreach.gateway.limit.RequestLimiter.Decision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.TargetSignals;
import org.geraniumreach.gateway.testing.TestTargets;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulates entries that send as many requests as they may to a target that names a limit. */
class LimitAdmissionTest {

    private static final TargetId ID = TargetId.of("t1");
    private static final Duration LINK_DELAY = Duration.ofMillis(2);
    private static final Duration ANSWER_DELAY = Duration.ofMillis(100);

    /** The rule counts the requests of an entry from this long after its first answer that named the limit. */
    private static final Duration LEARNING_TIME = Duration.ofMillis(500);

    private static final Duration RULE_WINDOW = Duration.ofSeconds(4);
    private static final double RULE_FACTOR = 1.5;
    private static final int RULE_EXTRA = 5;

    private final VirtualTime time = new VirtualTime();
    private final Set<String> names = new HashSet<>();
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Set<String> unreachable = new HashSet<>();
    private final List<Arrival> countedArrivals = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();
    private Optional<Row> holderRow = Optional.empty();
    private Random holding = new Random(2);
    private boolean paused;
    private Optional<List<Runnable>> heldAnswers = Optional.empty();
    private final Set<String> idle = new HashSet<>();
    private long nextVersion = 5;
    private long nextIncarnation = 1;
    private Optional<RequestRate> limit = Optional.empty();

    private record Arrival(String entry, long at) {}

    /** One incarnation of an entry's process. */
    private final class Entry {
        private final String name;
        private final long incarnation = nextIncarnation++;
        private final TargetRegistry registry = new TargetRegistry(time);
        private final TargetLimits limits = new TargetLimits(time, (event, id, fields) -> {});
        private final Lease lease = new Lease(time, time::wallMillis);
        private final TargetOwnership ownership;
        private final LimitAdmission admission;
        private Optional<Long> toldAt = Optional.empty();

        private Entry(String name, Set<String> knownEntries) {
            this.name = name;
            this.ownership = new TargetOwnership(name, incarnation, lease, time);
            this.admission = new LimitAdmission(
                    limits,
                    new LimitAdmission.KnownTargets(ownership, registry, target -> paused),
                    new EqualDivision(name, () -> knownEntries),
                    this::requestCall,
                    time,
                    time);
            registry.addListener(admission);
            registry.put(TestTargets.describe(ID, 1));
            holderRow.ifPresent(row -> ownership.updateHolder(row.key().key(), Optional.of(row)));
        }

        private Target target() {
            return registry.find(ID).orElseThrow();
        }

        private boolean requestCall(String owner, long number, Target target, LimitReport known) {
            if (unreachable.contains(owner) || unreachable.contains(name)) {
                return false;
            }
            time.schedule(LINK_DELAY, () -> {
                Optional<Decision> decision = entries.get(owner).admission.decideForPeer(target.id(), 1, known);
                time.schedule(LINK_DELAY, () -> admission.onAnswer(number, decision));
            });
            return true;
        }

        private void trySend() {
            if (idle.contains(name) || !admission.timeUntilAvailable(target()).isZero()) {
                return;
            }
            admission.admit(target(), decision -> {
                if (decision.admitted()) {
                    time.schedule(holdingTime(decision.validFor()), this::send);
                }
            });
        }

        /** Some requests wait for a load before they use their permission. */
        private Duration holdingTime(Duration validFor) {
            return holding.nextInt(3) == 0
                    ? Duration.ofNanos((long) (validFor.toNanos() * holding.nextDouble()))
                    : Duration.ZERO;
        }

        private void send() {
            long now = time.nanos();
            arrivals.add(now);
            if (toldAt.isPresent() && now - toldAt.get() >= LEARNING_TIME.toNanos()) {
                countedArrivals.add(new Arrival(name, now));
            }
            Optional<RequestRate> named = limit;
            Consumer<TargetSignals> signals = limits.onCall(target());
            Runnable answer = () -> {
                if (named.isPresent() && toldAt.isEmpty()) {
                    toldAt = Optional.of(time.nanos());
                }
                signals.accept(new TargetSignals(named, Optional.empty(), false, true));
            };
            heldAnswers.ifPresentOrElse(held -> held.add(answer), () -> time.schedule(ANSWER_DELAY, answer));
        }
    }

    private Entry start(String name) {
        return start(name, names);
    }

    private Entry start(String name, Set<String> knownEntries) {
        Entry entry = new Entry(name, knownEntries);
        entry.lease.onRenewed(entry.lease.startRenewal(), 0);
        names.add(name);
        entries.put(name, entry);
        return entry;
    }

    /** Makes an entry the owner; the former one must have given up its lease. */
    private void setOwner(Entry owner) {
        Transaction claim = owner.ownership
                .claim(List.of(ID), List.of(owner.name), entry -> true)
                .or(() -> Optional.of(claimOf(owner)))
                .orElseThrow();
        Transaction.Write write = claim.writes().get(0);
        RowKey key = write.key();
        holderRow = Optional.of(new Row(key, nextVersion++, write.value().orElseThrow()));
        entries.values().forEach(entry -> entry.ownership.updateHolder(key.key(), holderRow));
    }

    private Transaction claimOf(Entry owner) {
        TargetOwnership unheld = new TargetOwnership(owner.name, owner.incarnation, owner.lease, time);
        return unheld.claim(List.of(ID), List.of(owner.name), entry -> true).orElseThrow();
    }

    private void sendFor(Duration duration) {
        sendFor(duration, new Random(1));
    }

    /** All entries try to send about every 20 ms. */
    private void sendFor(Duration duration, Random random) {
        long end = time.nanos() + duration.toNanos();
        while (time.nanos() < end) {
            entries.values().forEach(entry -> {
                entry.lease.onRenewed(entry.lease.startRenewal(), 0);
                if (random.nextInt(4) > 0) {
                    entry.trySend();
                }
            });
            time.advance(Duration.ofMillis(10 + random.nextInt(20)));
        }
    }

    private static int maximumInWindow(List<Long> times) {
        int maximum = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= RULE_WINDOW.toNanos()) {
                first++;
            }
            maximum = Math.max(maximum, last - first + 1);
        }
        return maximum;
    }

    private int allowed(double perSecond) {
        return (int) (RULE_FACTOR * perSecond * RULE_WINDOW.toSeconds() + RULE_EXTRA);
    }

    private void startEntries(int count) {
        for (int number = 0; number < count; number++) {
            start("entry" + number);
        }
        setOwner(entries.get("entry0"));
    }

    private void limit(double perSecond) {
        limit = Optional.of(new RequestRate(perSecond));
    }

    /** Guards against each entry taking the limit for itself alone. */
    @ParameterizedTest
    @CsvSource({"1, 1", "1, 1.7", "6, 1", "6, 20", "33, 1.7", "300, 1", "300, 50"})
    void allEntriesTogetherUseTheLimitAndKeepToIt(int entryCount, double perSecond) {
        startEntries(entryCount);
        limit(perSecond);
        sendFor(Duration.ofSeconds(2));
        arrivals.clear();
        sendFor(Duration.ofSeconds(20));
        assertThat(maximumInWindow(countedArrivals.stream().map(Arrival::at).toList()))
                .isLessThanOrEqualTo(allowed(perSecond));
        assertThat(arrivals.size()).isBetween((int) (20 * perSecond * 0.9) - 1, (int) (20 * perSecond) + 5);
    }

    /** Guards against breaking the limit while owners restart, entries lose one another, and entries know different others. */
    @Property(tries = 200)
    void entriesKeepToTheLimitWhateverHappensToThem(@ForAll long seed) {
        reset();
        holding = new Random(~seed);
        Random random = new Random(seed);
        int count = 1 + random.nextInt(40);
        startEntries(count);
        double perSecond = 0.3 + random.nextInt(60) / 4.0;
        limit(perSecond);
        for (int step = 0; step < 60; step++) {
            sendFor(Duration.ofMillis(100 + random.nextInt(400)), random);
            String chosen = "entry" + random.nextInt(count);
            switch (random.nextInt(5)) {
                case 0 -> restart(chosen, random);
                case 1 -> unreachable.add(chosen);
                case 2 -> unreachable.remove(chosen);
                case 3 -> changeOwner(chosen);
                default -> {
                    // Nothing happens in this step.
                }
            }
        }
        assertThat(maximumInWindow(countedArrivals.stream().map(Arrival::at).toList()))
                .isLessThanOrEqualTo(allowed(perSecond));
    }

    /** All tries of a property share the fields. */
    private void reset() {
        time.advance(Duration.ofSeconds(30));
        names.clear();
        entries.clear();
        unreachable.clear();
        countedArrivals.clear();
        arrivals.clear();
        holderRow = Optional.empty();
        limit = Optional.empty();
    }

    /** A restarted entry may have read only a part of the others' rows; the rule excuses what it sent before. */
    private void restart(String name, Random random) {
        countedArrivals.removeIf(arrival -> arrival.entry().equals(name));
        Set<String> known = new HashSet<>(names);
        known.removeIf(other -> !other.equals(name) && random.nextInt(10) == 0);
        boolean owned = entries.get(name).ownership.fence(ID).isPresent();
        Entry restarted = start(name, known);
        if (owned) {
            setOwner(restarted);
        }
    }

    private void changeOwner(String name) {
        if (holderRow.isEmpty()) {
            return;
        }
        entries.values().forEach(entry -> entry.ownership.updateHolder("holder/" + ID.value(), Optional.empty()));
        holderRow = Optional.empty();
        time.schedule(Lease.HANDOVER_GAP, () -> setOwner(entries.get(name)));
    }

    /** Guards against a restarted owner that grants requests without a limit, since it has not been told of it itself. */
    @Test
    void aRestartedOwnerLearnsTheLimitFromTheEntriesThatAsk() {
        startEntries(3);
        limit(1);
        sendFor(Duration.ofSeconds(2));
        Entry owner = start("entry0");
        setOwner(owner);
        time.advance(Duration.ofSeconds(1));
        owner.lease.onRenewed(owner.lease.startRenewal(), 0);
        entries.get("entry1").trySend();
        time.advance(Duration.ofMillis(10));
        assertThat(owner.admission.isLimited(owner.target())).isTrue();
    }

    /** Guards against a target that gets nothing at all while its owner is lost. */
    @ParameterizedTest
    @CsvSource({"1, 2, 8", "5, 4, 16"})
    void withoutTheOwnerAFewRequestsAreDividedAmongAllEntries(double perSecond, int minimum, int maximum) {
        startEntries(4);
        limit(perSecond);
        sendFor(Duration.ofSeconds(2));
        unreachable.add("entry0");
        entries.remove("entry0");
        arrivals.clear();
        sendFor(Duration.ofSeconds(10));
        assertThat(arrivals).hasSizeBetween(minimum, maximum);
        assertThat(maximumInWindow(countedArrivals.stream().map(Arrival::at).toList()))
                .isLessThanOrEqualTo(allowed(perSecond));
    }

    /** Guards against a limit that stays in force at entries that get no permission to notice its end. */
    @Test
    void afterTheLimitHasEndedAllEntriesSendAsBefore() {
        startEntries(20);
        limit(1);
        sendFor(Duration.ofSeconds(5));
        limit = Optional.empty();
        entries.values()
                .forEach(entry -> entry.limits.setChangeListener((target, report) -> entries.values()
                        .forEach(other ->
                                time.schedule(LINK_DELAY, () -> other.limits.onReport(other.target(), report)))));
        sendFor(Duration.ofSeconds(8));
        assertThat(entries.values()).noneMatch(entry -> entry.admission.isLimited(entry.target()));
    }

    /** Guards against a wait that is as long as under a former, lower limit. */
    @Test
    void aRaisedLimitIsUsedAtOnce() {
        startEntries(1);
        limit(0.01);
        sendFor(Duration.ofSeconds(2));
        Entry owner = entries.get("entry0");
        owner.limits.onReport(owner.target(), new LimitReport(Optional.of(new RequestRate(10)), Duration.ZERO));
        limit(10);
        arrivals.clear();
        time.advance(Duration.ofMillis(1));
        sendFor(Duration.ofSeconds(5));
        assertThat(arrivals).hasSizeGreaterThan(30);
    }

    /** Guards against requests that add up at a paused target, and arrive together when it wakes. */
    @Test
    void aTargetThatMayBePausedGetsNothingMoreWhileItNamesALimit() {
        startEntries(1);
        Entry entry = entries.get("entry0");
        paused = true;
        assertThat(entry.admission.timeUntilAvailable(entry.target())).isZero();
        limit(2);
        entry.send();
        time.advance(ANSWER_DELAY);
        assertThat(entry.admission.timeUntilAvailable(entry.target())).isPositive();
        paused = false;
        assertThat(entry.admission.timeUntilAvailable(entry.target())).isZero();
    }

    /** Guards against callers of all entries that are rejected at a sound target, since one caller of its owner has left. */
    @Test
    void theOwnerPermitsRequestsToOtherEntriesAtATargetThatMayHoldItsOwn() {
        startEntries(2);
        Entry owner = entries.get("entry0");
        Entry other = entries.get("entry1");
        limit(2);
        owner.send();
        other.send();
        sendFor(Duration.ofSeconds(2));
        LimitReport known = other.limits.report(other.target()).orElseThrow();
        time.advance(Duration.ofMillis(700));
        paused = true;
        assertThat(owner.admission.timeUntilAvailable(owner.target())).isPositive();
        assertThat(owner.admission.decideForPeer(owner.target().id(), 1, known))
                .hasValueSatisfying(decision -> assertThat(decision.admitted()).isTrue());
    }

    /** Guards against requests that add up at a paused target whose entries have not noticed, such as an owner that sends none itself. */
    @ParameterizedTest
    @CsvSource({"1, 2, false", "3, 0.5, true", "21, 1, true", "21, 2, true", "100, 2, false", "21, 20, true"})
    void requestsThatAPausedTargetHoldsKeepToTheLimitWhenItWakes(int count, double perSecond, boolean ownerIsIdle) {
        startEntries(count);
        limit(perSecond);
        sendFor(Duration.ofSeconds(20));
        if (ownerIsIdle) {
            idle.add("entry0");
        }
        List<Runnable> held = new ArrayList<>();
        heldAnswers = Optional.of(held);
        sendFor(Duration.ofSeconds(30));
        heldAnswers = Optional.empty();
        held.forEach(answer -> time.schedule(ANSWER_DELAY, answer));
        arrivals.clear();
        sendFor(RULE_WINDOW);
        assertThat(held.size() + arrivals.size()).isLessThanOrEqualTo(allowed(perSecond));
        arrivals.clear();
        sendFor(Duration.ofSeconds(10));
        assertThat(arrivals.size()).isGreaterThanOrEqualTo((int) (10 * perSecond * 0.9) - 1);
    }
}
