package org.geraniumreach.gateway.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays requests of one account at many entries, each of which sees few of them. */
class QuotaAdmissionTest {

    private static final AccountId ID = AccountId.of("acme");
    private static final double RATE = 34_000;
    private static final double BURST = 1_000;
    private static final Quotas.Tolerance TOLERANCE = new Quotas.Tolerance(0.1, 11_000, Duration.ofSeconds(8));
    private static final Duration OBJECTIVE = Duration.ofMillis(500);
    private static final double MEAN_UNITS = 1_600;
    private static final Duration PATIENCE = Duration.ofSeconds(15);
    private static final Duration LINK_DELAY = Duration.ofMillis(2);

    /** Guards against requests refused within the rate because each of many entries has a share smaller than a request. */
    @ParameterizedTest
    @CsvSource({"4, 34000, 0.005", "33, 34000, 0.005", "340, 34000, 0.005", "33, 10000, 0.02", "33, 4000, 0.02"})
    void anAccountBelowItsRateIsHardlyRefusedHoweverManyEntriesItUses(int entries, double rate, double most) {
        World world = new World(7, entries, rate);
        world.settle();
        world.load(0.55, Duration.ofSeconds(60));
        assertThat(world.refusedPart()).isLessThan(most);
    }

    /** Guards against most of the rate being unused while an account asks for more than it has. */
    @Test
    void anAccountAboveItsRateGetsNearlyAllOfIt() {
        World world = new World(8, 33, RATE);
        world.settle();
        world.load(3, Duration.ofSeconds(30));
        assertThat(world.admittedUnits() / 30).isBetween(0.85 * RATE, 1.1 * RATE);
        world.check();
    }

    /** Guards against refusals within the rate by an entry that starts again and has no links yet. */
    @Test
    void aRequestWaitsForTheFirstLinksOfAnEntryThatStarts() {
        World world = new World(10, 33, RATE);
        world.settle();
        Entry restarted = new Entry("entry-new", world);
        restarted.quotas.put("share/acme", world.row);
        world.linksOpen = false;
        List<Quotas.Admission> decisions = new ArrayList<>();
        restarted.admission.admit(world.account, 1_000, PATIENCE, decisions::add);
        world.time.pass(Duration.ofMillis(300));
        assertThat(decisions).isEmpty();
        world.linksOpen = true;
        world.time.pass(Duration.ofMillis(100));
        assertThat(decisions).hasSize(1);
        assertThat(decisions.get(0).admitted()).isTrue();
    }

    /** Guards against refusals within the rate where holders have started at the same moment and do not answer yet. */
    @Test
    void aRequestWaitsForHoldersThatStartAsWell() {
        World world = new World(10, 33, RATE);
        world.settle();
        Entry restarted = new Entry("entry-new", world);
        restarted.quotas.put("share/acme", world.row);
        world.allSilent = true;
        List<Quotas.Admission> decisions = new ArrayList<>();
        restarted.admission.admit(world.account, 1_000, PATIENCE, decisions::add);
        world.time.pass(Duration.ofMillis(900));
        assertThat(decisions).isEmpty();
        world.allSilent = false;
        world.time.pass(Duration.ofMillis(300));
        assertThat(decisions).extracting(Quotas.Admission::admitted).containsExactly(true);
    }

    /** Guards against a short request that is kept waiting for holders until its caller has left. */
    @Test
    void aShortRequestIsRefusedWhileItsCallerCanStillComeBack() {
        World world = new World(10, 33, RATE);
        world.settle();
        Entry restarted = new Entry("entry-new", world);
        restarted.quotas.put("share/acme", world.row);
        world.allSilent = true;
        List<Quotas.Admission> decisions = new ArrayList<>();
        restarted.admission.admit(world.account, 1_000, Duration.ofMillis(800), decisions::add);
        world.time.pass(Duration.ofMillis(700));
        assertThat(decisions).extracting(Quotas.Admission::admitted).containsExactly(false);
    }

    /** Guards against requests that wait for links although the holders have refused. */
    @Test
    void aRequestIsRefusedAtOnceWhereAllHoldersHaveRefused() {
        World world = new World(13, 33, RATE);
        world.settle();
        Entry restarted = new Entry("entry-new", world);
        restarted.quotas.put("share/acme", world.row);
        List<Quotas.Admission> decisions = new ArrayList<>();
        for (int request = 0; request < 40; request++) {
            restarted.admission.admit(world.account, 8_000, PATIENCE, decisions::add);
        }
        world.time.pass(Duration.ofMillis(20));
        assertThat(decisions).hasSize(40);
        restarted.admission.admit(world.account, 8_000, PATIENCE, decisions::add);
        assertThat(decisions).hasSize(41);
        assertThat(decisions.get(40).admitted()).isFalse();
        assertThat(decisions.get(40).delay()).isPresent();
    }

    /** Guards against requests that are kept waiting for what cannot come. */
    @Test
    void aRequestIsRefusedAtOnceWhereNoHolderCanBeReachedLater() {
        World world = new World(11, 33, RATE);
        world.settle();
        Entry entry = new Entry("entry-new", world);
        entry.quotas.put("share/acme", world.row);
        world.time.pass(Duration.ofSeconds(4));
        world.linksOpen = false;
        List<Quotas.Admission> decisions = new ArrayList<>();
        entry.admission.admit(world.account, 1_000, PATIENCE, decisions::add);
        assertThat(decisions).hasSize(1);
        assertThat(decisions.get(0).admitted()).isFalse();
    }

    /** Guards against refusals of all requests at entries that are cut off from the others for long. */
    @Test
    void entriesThatAreCutOffFromTheOthersGetSharesOfTheirOwn() {
        World world = new World(12, 12, RATE);
        world.settle();
        world.cutOff = Set.of("entry0", "entry1", "entry2", "entry3");
        world.load(0.4, Duration.ofSeconds(20));
        world.asked = 0;
        world.refused = 0;
        world.load(0.4, Duration.ofSeconds(30));
        assertThat(world.refusedPart()).isLessThan(0.15);
        world.check();
    }

    /** Guards against requests that wait long, or are all refused, because a holder neither answers nor is taken for lost. */
    @Test
    void aHolderThatDoesNotAnswerCostsLittle() {
        World world = new World(9, 33, RATE);
        world.settle();
        world.silent = world.entries.get(0).quotas.otherHolders(ID).get(0);
        world.load(0.4, Duration.ofSeconds(30));
        assertThat(world.refusedPart()).isLessThan(0.02);
        assertThat(world.longestDecision).isLessThanOrEqualTo(Duration.ofMillis(400));
    }

    /** Guards against an account above its rate: grants are lost, holders change, answers come late. An oracle adds up. */
    @Property(tries = 60)
    void allEntriesTogetherKeepToTheRateWhateverIsLost(@ForAll long seed) {
        World world = new World(seed, 12, RATE);
        world.lossPart = 0.1;
        world.settle();
        for (int second = 0; second < 20; second++) {
            world.load(world.random.nextDouble() * 4, Duration.ofSeconds(1));
            world.unseen = world.random.nextInt(3) == 0 ? "entry" + world.random.nextInt(12) : "";
        }
        world.check();
    }

    private static final class Entry {
        private final String name;
        private final Lease lease;
        private final Quotas quotas;
        private final QuotaAdmission admission;

        private Entry(String name, World world) {
            this.name = name;
            this.lease = new Lease(world.time, world.time::wallMillis);
            this.quotas = new Quotas(name, lease, TOLERANCE, world.time, (event, id, fields) -> {});
            this.quotas.configure(Map.of(ID, world.account), OBJECTIVE);
            this.admission = new QuotaAdmission(
                    quotas,
                    (entry, number, account, units) -> world.ask(this, entry, number, units),
                    world.time,
                    world.time,
                    world.random);
        }
    }

    /** Entries with links that delay and lose, and one stored row. */
    private static final class World {
        private final Account account;
        private final Random random;
        private final VirtualTime time = new VirtualTime();
        private final List<Entry> entries = new ArrayList<>();
        private final Map<String, Entry> byName = new HashMap<>();
        private final List<double[]> admitted = new ArrayList<>();
        private Optional<Row> row = Optional.empty();
        private long version = 1;
        private int asked;
        private int refused;
        private String silent = "";
        private boolean allSilent;
        private String unseen = "";
        private boolean linksOpen = true;
        private Set<String> cutOff = Set.of();
        private double lossPart;
        private Duration longestDecision = Duration.ZERO;

        private World(long seed, int count, double rate) {
            this.account = new Account(ID, rate, BURST, true, 200, OptionalInt.empty());
            this.random = new Random(seed);
            IntStream.range(0, count).forEach(number -> entries.add(new Entry("entry" + number, this)));
            entries.forEach(entry -> byName.put(entry.name, entry));
        }

        private void settle() {
            renew();
            for (int round = 0; round < 3; round++) {
                entries.forEach(this::change);
            }
            // Buckets begin half full.
            time.pass(Duration.ofSeconds(2));
        }

        private void renew() {
            entries.forEach(entry -> entry.lease.renewed(entry.lease.sending()));
        }

        private boolean ask(Entry from, String to, long number, double units) {
            if (!sees(from.name, to) || !linksOpen) {
                return false;
            }
            if (allSilent || to.equals(silent) || isLost()) {
                return true;
            }
            time.after(LINK_DELAY, () -> {
                Quotas.Admission answer = byName.get(to).quotas.lend(ID, units);
                if (!isLost()) {
                    time.after(LINK_DELAY, () -> from.admission.onAnswer(number, answer));
                }
            });
            return true;
        }

        private boolean sees(String one, String other) {
            boolean cut = cutOff.contains(one) || cutOff.contains(other);
            return one.equals(other) || !cut && !other.equals(unseen);
        }

        private boolean isLost() {
            return random.nextDouble() < lossPart;
        }

        private void load(double partOfRate, Duration length) {
            long steps = length.toMillis() / 10;
            double perStep = partOfRate * account.unitsPerSecond() / MEAN_UNITS / 100;
            for (long step = 0; step < steps; step++) {
                if (step % 50 == 0) {
                    renew();
                    change(entries.get(random.nextInt(entries.size())));
                }
                for (double due = perStep; due > 0; due--) {
                    if (random.nextDouble() < due) {
                        request();
                    }
                }
                time.pass(Duration.ofMillis(10));
            }
        }

        private void request() {
            asked++;
            double units = Math.min(8_000, 300 - Math.log(1 - random.nextDouble()) * (MEAN_UNITS - 300));
            long began = time.nanos();
            Entry entry = entries.get(random.nextInt(entries.size()));
            Cancellable call =
                    entry.admission.admit(account, units, PATIENCE, decision -> decided(began, units, decision));
            if (lossPart > 0 && random.nextInt(20) == 0) {
                time.after(Duration.ofMillis(3), call::cancel);
            }
        }

        private void decided(long began, double units, Quotas.Admission decision) {
            Duration took = Duration.ofNanos(time.nanos() - began);
            longestDecision = took.compareTo(longestDecision) > 0 ? took : longestDecision;
            if (decision.admitted()) {
                long at = time.nanos() + decision.delay().orElse(Duration.ZERO).toNanos();
                admitted.add(new double[] {at / 1e9, units});
            } else {
                refused++;
            }
        }

        /** Commits a change of an entry's share, which the others learn at once or, sometimes, later. */
        private void change(Entry entry) {
            List<String> seen = entries.stream()
                    .map(each -> each.name)
                    .filter(name -> sees(entry.name, name))
                    .toList();
            Optional<Transaction> change = entry.quotas.change(seen, Map.of());
            if (change.isPresent()) {
                commit(entry, change.get());
            }
            entries.stream()
                    .filter(each -> lossPart == 0 || random.nextInt(3) > 0)
                    .forEach(each -> each.quotas.put("share/acme", row));
        }

        private void commit(Entry entry, Transaction change) {
            boolean fits = change.conditions().get(0).version()
                    == row.map(Row::version).orElse(Transaction.ABSENT);
            if (!fits) {
                entry.quotas.changeRefused();
                return;
            }
            Transaction.Write write = change.writes().get(0);
            row = Optional.of(new Row(write.key(), ++version, write.value().orElseThrow()));
            assertThat(ShareRow.parse(row.get().value())).isPresent();
            entry.quotas.put("share/acme", row);
        }

        private double refusedPart() {
            return (double) refused / asked;
        }

        private double admittedUnits() {
            return admitted.stream().mapToDouble(each -> each[1]).sum();
        }

        private void check() {
            double allowed = (RATE * 8 + BURST) * 1.1 + 11_000;
            admitted.sort(Comparator.comparingDouble(each -> each[0]));
            double sum = 0;
            int first = 0;
            for (double[] each : admitted) {
                sum += each[1];
                while (admitted.get(first)[0] < each[0] - 8) {
                    sum -= admitted.get(first++)[1];
                }
                assertThat(sum).isLessThanOrEqualTo(allowed);
            }
        }
    }
}
