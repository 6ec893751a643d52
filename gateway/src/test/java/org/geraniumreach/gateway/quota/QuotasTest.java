package org.geraniumreach.gateway.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class QuotasTest {

    private static final AccountId ID = AccountId.of("acme");
    private static final double RATE = 10_000;
    private static final Account ACCOUNT = new Account(ID, RATE, RATE, true, 200, OptionalInt.empty());
    private static final Quotas.Tolerance TOLERANCE = new Quotas.Tolerance(0.1, 11_000, Duration.ofSeconds(8));
    private static final Duration OBJECTIVE = Duration.ofMillis(1_000);
    private static final Duration WAIT = Duration.ofMillis(400);
    private static final List<String> NAMES = List.of("entry0", "entry1", "entry2", "entry3");

    // An account gets more than its rate if two entries spend one part of it. Entries take and give parts as demand
    // moves,
    // transactions conflict, their answers are lost, and news come late. The oracle adds up what all entries admit.
    @Property(tries = 300)
    void allEntriesTogetherKeepToRateBurstAndTolerance(@ForAll long seed) {
        new World(seed).play();
    }

    // An entry that has been cut off from the store for long admits nothing, since others may take its share over.
    @Test
    void anEntryWithoutRenewalSpendsNothing() {
        World world = new World(1);
        world.settle();
        Entry entry = world.holder();
        assertThat(entry.quotas.admit(ACCOUNT, 10).admitted()).isTrue();
        world.time.pass(Quotas.PROOF);
        assertThat(entry.quotas.admit(ACCOUNT, 10).admitted()).isFalse();
    }

    // Callers of a draining entry got 429 for seconds although their accounts were far below their rates: the drain
    // gave
    // up the lease on targets, and the shares counted as unproved with it.
    @Test
    void anEntryThatDrainsStillSpendsItsShares() {
        World world = new World(1);
        world.settle();
        Entry entry = world.holder();
        entry.lease.release();
        assertThat(entry.quotas.admit(ACCOUNT, 10).admitted()).isTrue();
    }

    // Callers got 429 until the next renewal when an instance's time of day jumped. A jump is no freeze: both clocks
    // together still show less than the limit.
    @ParameterizedTest
    @ValueSource(longs = {-2_400, 2_400})
    void anEntryWhoseTimeOfDayJumpsStillSpendsItsShares(long stepMillis) {
        World world = new World(1);
        world.settle();
        world.time.stepWall(Duration.ofMillis(stepMillis));
        Entry entry = world.holder();
        assertThat(entry.quotas.admit(ACCOUNT, 10).admitted()).isTrue();
    }

    // Others may have taken the shares over while the process was frozen; its steady clock stood still meanwhile.
    @Test
    void anEntryThatWasFrozenForLongSpendsNothing() {
        World world = new World(1);
        world.settle();
        world.time.stepWall(Quotas.PROOF);
        Entry entry = world.holder();
        assertThat(entry.quotas.admit(ACCOUNT, 10).admitted()).isFalse();
    }

    // A booking's caller is told when its account has units again, not just to go away.
    @Test
    void whatIsAboveTheRateIsToldWhenToComeBack() {
        World world = new World(1);
        world.settle();
        Entry entry = world.holder();
        Quotas.Admission last = entry.quotas.admit(ACCOUNT, 1_000);
        while (last.admitted()) {
            last = entry.quotas.admit(ACCOUNT, 1_000);
        }
        assertThat(last.delay()).isPresent();
        assertThat(last.delay().get()).isGreaterThan(WAIT).isLessThan(Duration.ofSeconds(5));
    }

    // An account asks for six times its rate, as it does for some seconds on a heavy day. Its requests that are
    // admitted had all
    // waited for 0.4 s, in a queue that stood at its longest for as long as that lasted, and were late for it.
    @Test
    void whatIsAdmittedOfAnAccountFarAboveItsRateDoesNotWaitMuch() {
        Overload overload = new Overload(Duration.ofMillis(100));
        overload.play(Duration.ofSeconds(10));
        assertThat(overload.longestWait).isLessThanOrEqualTo(Duration.ofMillis(40));
    }

    // The same account sends long and short prompts. Short ones took all that flowed in, and hardly any long one ran;
    // the
    // parts that are admitted of each size must be alike within a half.
    @Test
    void anAccountFarAboveItsRateHasItsLongPromptsServedToo() {
        Overload overload = new Overload(Duration.ofMillis(100));
        overload.play(Duration.ofSeconds(10));
        double shortPart = (double) overload.shortAdmitted / overload.shortAsked;
        double longPart = (double) overload.longAdmitted / overload.longAsked;
        assertThat(longPart).isGreaterThan(shortPart / 2);
    }

    /** An account that asks one entry, which has its whole rate, for six times that, half in prompts and half in short requests. */
    private static final class Overload {
        private static final int SHORT = 200;
        private static final int LONG = 2_000;

        /** With as many units in long as in short requests, six times the rate is a request each 6 ms. */
        private static final long MEAN_GAP_NANOS = 6_000_000;

        private final SplittableRandom random = new SplittableRandom(11);
        private final VirtualTime time = new VirtualTime();
        private final Quotas quotas;
        private Duration longestWait = Duration.ZERO;
        private int shortAsked;
        private int shortAdmitted;
        private int longAsked;
        private int longAdmitted;

        private Overload(Duration shortestObjective) {
            Lease lease = new Lease(time, time::wallMillis);
            lease.renewed(lease.sending());
            quotas = new Quotas("one", lease, TOLERANCE, time, (event, id, fields) -> {});
            quotas.configure(Map.of(ID, ACCOUNT), shortestObjective);
            ShareRow all = ShareRow.none().with("one", new ShareRow.Share(ShareRow.WHOLE, 0));
            RowKey key = RowKey.of(TargetOwnership.TABLE, "share/acme");
            quotas.put(key.key(), Optional.of(new Row(key, 1, all.toText())));
        }

        private void play(Duration length) {
            long end = time.nanos() + length.toNanos();
            while (time.nanos() < end) {
                time.pass(Duration.ofNanos(random.nextLong(MEAN_GAP_NANOS * 2)));
                if (random.nextInt(LONG + SHORT) < SHORT) {
                    longAsked++;
                    longAdmitted += ask(LONG) ? 1 : 0;
                } else {
                    shortAsked++;
                    shortAdmitted += ask(SHORT) ? 1 : 0;
                }
            }
        }

        private boolean ask(int units) {
            Quotas.Admission admission = quotas.admit(ACCOUNT, units);
            if (admission.admitted() && admission.delay().orElseThrow().compareTo(longestWait) > 0) {
                longestWait = admission.delay().get();
            }
            return admission.admitted();
        }
    }

    private static final class Entry {
        private final Lease lease;
        private final Quotas quotas;
        private double demand;

        private Entry(String name, VirtualTime time) {
            this.lease = new Lease(time, time::wallMillis);
            this.quotas = new Quotas(name, lease, TOLERANCE, time, (event, id, fields) -> {});
            this.quotas.configure(Map.of(ID, ACCOUNT), OBJECTIVE);
        }
    }

    /** Entries and one stored row. */
    private static final class World {
        private final SplittableRandom random;
        private final VirtualTime time = new VirtualTime();
        private final List<Entry> entries = new ArrayList<>();
        private final Map<Long, Double> admitted = new HashMap<>();
        private Optional<Row> row = Optional.empty();
        private long version = 1;

        private World(long seed) {
            this.random = new SplittableRandom(seed);
            for (int number = 0; number < 4; number++) {
                entries.add(new Entry("entry" + number, time));
            }
        }

        /** An entry that has a share. */
        private Entry holder() {
            return entries.stream()
                    .filter(entry -> entry.quotas.hasShare(ID))
                    .findFirst()
                    .orElseThrow();
        }

        private void settle() {
            entries.forEach(entry -> entry.lease.renewed(entry.lease.sending()));
            entries.forEach(entry -> change(entry, 2));
        }

        private void play() {
            settle();
            long begin = time.nanos();
            for (int step = 0; step < 400; step++) {
                time.pass(Duration.ofMillis(50));
                if (step % 20 == 0) {
                    entries.forEach(entry -> entry.demand = random.nextInt(3) * RATE * random.nextDouble());
                }
                entries.forEach(entry -> entry.lease.renewed(entry.lease.sending()));
                entries.forEach(this::ask);
                change(entries.get(random.nextInt(entries.size())), random.nextInt(4));
                if (random.nextInt(3) == 0) {
                    tell(entries.get(random.nextInt(entries.size())));
                }
            }
            check(begin);
        }

        private void ask(Entry entry) {
            double asked = entry.demand * 0.05;
            while (asked > 0) {
                double units = Math.min(asked, 200 + random.nextInt(3_000));
                if (entry.quotas.admit(ACCOUNT, units).admitted()) {
                    admitted.merge(time.nanos(), units, Double::sum);
                }
                asked -= units;
            }
        }

        private void tell(Entry entry) {
            entry.quotas.put("share/acme", row);
        }

        /** Commits a change: the answer is lost (0), refused if outdated, or believed. */
        private void change(Entry entry, int fate) {
            Optional<Transaction> change = entry.quotas.change(NAMES, Map.of());
            if (change.isEmpty()) {
                return;
            }
            long expected = change.get().conditions().get(0).version();
            boolean fits = expected == row.map(Row::version).orElse(Transaction.ABSENT);
            if (fits) {
                Transaction.Write write = change.get().writes().get(0);
                row = Optional.of(new Row(write.key(), ++version, write.value().orElseThrow()));
                assertThat(ShareRow.parse(row.get().value())).isPresent();
            }
            if (fate == 0) {
                return;
            }
            if (fits) {
                tell(entry);
            } else {
                entry.quotas.changeRefused();
                tell(entry);
            }
        }

        private void check(long begin) {
            long window = Duration.ofSeconds(8).toNanos();
            double allowed = (RATE * 8 + RATE) * 1.1 + 11_000;
            for (long from = begin;
                    from <= time.nanos();
                    from += Duration.ofMillis(500).toNanos()) {
                long start = from;
                double sum = admitted.entrySet().stream()
                        .filter(each -> each.getKey() >= start && each.getKey() < start + window)
                        .mapToDouble(Map.Entry::getValue)
                        .sum();
                assertThat(sum).isLessThanOrEqualTo(allowed);
            }
        }
    }
}
