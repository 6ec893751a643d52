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
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulates requests of one account that are spread over many entries. */
class QuotaAdmissionTest {

    private static final AccountId ACCOUNT_ID = AccountId.of("acme");
    private static final double UNITS_PER_SECOND = 34_000;
    private static final double BURST_UNITS = 1_000;
    private static final Quotas.Tolerance TOLERANCE = new Quotas.Tolerance(0.1, 11_000, Duration.ofSeconds(8));
    private static final Duration LATENCY_OBJECTIVE = Duration.ofMillis(500);
    private static final double MEAN_UNITS = 1_600;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration LINK_DELAY = Duration.ofMillis(2);

    /** Guards against refusals within the rate if each of many entries has a share smaller than one request. */
    @ParameterizedTest
    @CsvSource({"4, 34000, 0.005", "33, 34000, 0.005", "340, 34000, 0.005", "33, 10000, 0.02", "33, 4000, 0.02"})
    void refusesFewRequestsBelowTheRateWithAnyNumberOfEntries(int entries, double rate, double maxRefusedRatio) {
        EntrySimulation simulation = new EntrySimulation(7, entries, rate);
        simulation.distributeShares();
        simulation.runLoad(0.55, Duration.ofSeconds(60));
        assertThat(simulation.refusedRatio()).isLessThan(maxRefusedRatio);
    }

    /** Guards against leaving most of the rate unused while an account asks for more than its rate. */
    @Test
    void admitsNearlyTheWholeRateUnderOverload() {
        EntrySimulation simulation = new EntrySimulation(8, 33, UNITS_PER_SECOND);
        simulation.distributeShares();
        simulation.runLoad(3, Duration.ofSeconds(30));
        assertThat(simulation.admittedUnits() / 30).isBetween(0.85 * UNITS_PER_SECOND, 1.1 * UNITS_PER_SECOND);
        simulation.assertWithinRate();
    }

    /** Guards against refusals within the rate by a restarted entry that has no links yet. */
    @Test
    void requestWaitsForLinksAfterStartup() {
        EntrySimulation simulation = new EntrySimulation(10, 33, UNITS_PER_SECOND);
        simulation.distributeShares();
        SimulatedEntry restarted = new SimulatedEntry("entry-new", simulation);
        restarted.quotas.applyRow("share/acme", simulation.row);
        simulation.linksOpen = false;
        List<Quotas.Admission> decisions = new ArrayList<>();
        restarted.admission.admit(simulation.account, 1_000, REQUEST_TIMEOUT, decisions::add);
        simulation.time.advance(Duration.ofMillis(300));
        assertThat(decisions).isEmpty();
        simulation.linksOpen = true;
        simulation.time.advance(Duration.ofMillis(100));
        assertThat(decisions).hasSize(1);
        assertThat(decisions.get(0).admitted()).isTrue();
    }

    /** Guards against refusals within the rate if the holders have just started too and do not answer yet. */
    @Test
    void requestWaitsForHoldersThatAreStarting() {
        EntrySimulation simulation = new EntrySimulation(10, 33, UNITS_PER_SECOND);
        simulation.distributeShares();
        SimulatedEntry restarted = new SimulatedEntry("entry-new", simulation);
        restarted.quotas.applyRow("share/acme", simulation.row);
        simulation.allUnresponsive = true;
        List<Quotas.Admission> decisions = new ArrayList<>();
        restarted.admission.admit(simulation.account, 1_000, REQUEST_TIMEOUT, decisions::add);
        simulation.time.advance(Duration.ofMillis(900));
        assertThat(decisions).isEmpty();
        simulation.allUnresponsive = false;
        simulation.time.advance(Duration.ofMillis(300));
        assertThat(decisions).extracting(Quotas.Admission::admitted).containsExactly(true);
    }

    /** Guards against a request with a short timeout that waits for holders until its caller has given up. */
    @Test
    void requestWithShortTimeoutIsRefusedBeforeItsTimeout() {
        EntrySimulation simulation = new EntrySimulation(10, 33, UNITS_PER_SECOND);
        simulation.distributeShares();
        SimulatedEntry restarted = new SimulatedEntry("entry-new", simulation);
        restarted.quotas.applyRow("share/acme", simulation.row);
        simulation.allUnresponsive = true;
        List<Quotas.Admission> decisions = new ArrayList<>();
        restarted.admission.admit(simulation.account, 1_000, Duration.ofMillis(800), decisions::add);
        simulation.time.advance(Duration.ofMillis(700));
        assertThat(decisions).extracting(Quotas.Admission::admitted).containsExactly(false);
    }

    /** Guards against waiting for links although all holders have refused. */
    @Test
    void requestIsRefusedImmediatelyIfAllHoldersHaveRefused() {
        EntrySimulation simulation = new EntrySimulation(13, 33, UNITS_PER_SECOND);
        simulation.distributeShares();
        SimulatedEntry restarted = new SimulatedEntry("entry-new", simulation);
        restarted.quotas.applyRow("share/acme", simulation.row);
        List<Quotas.Admission> decisions = new ArrayList<>();
        for (int request = 0; request < 40; request++) {
            restarted.admission.admit(simulation.account, 8_000, REQUEST_TIMEOUT, decisions::add);
        }
        simulation.time.advance(Duration.ofMillis(20));
        assertThat(decisions).hasSize(40);
        restarted.admission.admit(simulation.account, 8_000, REQUEST_TIMEOUT, decisions::add);
        assertThat(decisions).hasSize(41);
        assertThat(decisions.get(40).admitted()).isFalse();
        assertThat(decisions.get(40).delay()).isPresent();
    }

    /** Guards against waiting for holders that cannot become reachable. */
    @Test
    void requestIsRefusedImmediatelyIfNoHolderIsReachableAfterStartup() {
        EntrySimulation simulation = new EntrySimulation(11, 33, UNITS_PER_SECOND);
        simulation.distributeShares();
        SimulatedEntry entry = new SimulatedEntry("entry-new", simulation);
        entry.quotas.applyRow("share/acme", simulation.row);
        simulation.time.advance(Duration.ofSeconds(4));
        simulation.linksOpen = false;
        List<Quotas.Admission> decisions = new ArrayList<>();
        entry.admission.admit(simulation.account, 1_000, REQUEST_TIMEOUT, decisions::add);
        assertThat(decisions).hasSize(1);
        assertThat(decisions.get(0).admitted()).isFalse();
    }

    /** Guards against refusals within the rate because the holders fall silent for a while and go on. */
    @ParameterizedTest
    @ValueSource(longs = {200, 500, 1_000, 1_400})
    void requestsWaitForHoldersThatFallSilent(long silentMillis) {
        EntrySimulation simulation = new EntrySimulation(14, 33, UNITS_PER_SECOND);
        simulation.distributeShares();
        SimulatedEntry entry = new SimulatedEntry("entry-new", simulation);
        entry.quotas.applyRow("share/acme", simulation.row);
        simulation.time.advance(Duration.ofSeconds(4));
        simulation.silenceAll(Duration.ofMillis(silentMillis));
        List<Quotas.Admission> decisions = new ArrayList<>();
        for (int request = 0; request < 10; request++) {
            entry.admission.admit(simulation.account, 1_000, REQUEST_TIMEOUT, decisions::add);
            simulation.time.advance(Duration.ofMillis(silentMillis / 10));
        }
        simulation.time.advance(Duration.ofMillis(100));
        assertThat(decisions).hasSize(10).extracting(Quotas.Admission::admitted).containsOnly(true);
    }

    /** Guards against a request that waits for a silent holder until its caller has given up. */
    @ParameterizedTest
    @CsvSource({"15000, 1700", "800, 700"})
    void requestIsRefusedInTimeIfNoHolderAnswers(long timeoutMillis, long latestMillis) {
        EntrySimulation simulation = new EntrySimulation(15, 33, UNITS_PER_SECOND);
        simulation.distributeShares();
        SimulatedEntry entry = new SimulatedEntry("entry-new", simulation);
        entry.quotas.applyRow("share/acme", simulation.row);
        simulation.time.advance(Duration.ofSeconds(4));
        simulation.allUnresponsive = true;
        List<Quotas.Admission> decisions = new ArrayList<>();
        entry.admission.admit(simulation.account, 1_000, Duration.ofMillis(timeoutMillis), decisions::add);
        simulation.time.advance(Duration.ofMillis(latestMillis));
        assertThat(decisions).extracting(Quotas.Admission::admitted).containsExactly(false);
    }

    /** Guards against refusals within the rate because a new configuration's account has no shares yet. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void requestOfANewAccountWaitsUntilItsRateIsDivided(boolean becomesHolder) {
        EntrySimulation simulation = new EntrySimulation(16, 1, UNITS_PER_SECOND);
        SimulatedEntry holder = simulation.entries.get(0);
        SimulatedEntry entry = becomesHolder ? holder : new SimulatedEntry("entry-new", simulation);
        simulation.time.advance(Duration.ofSeconds(4));
        List<Quotas.Admission> decisions = new ArrayList<>();
        entry.admission.admit(simulation.account, 1_000, REQUEST_TIMEOUT, decisions::add);
        simulation.time.advance(Duration.ofMillis(300));
        assertThat(decisions).isEmpty();
        simulation.renewLeases();
        simulation.updateShare(holder);
        entry.quotas.applyRow("share/acme", simulation.row);
        simulation.time.advance(Duration.ofMillis(100));
        assertThat(decisions).extracting(Quotas.Admission::admitted).containsExactly(true);
    }

    /** Guards against refusing all requests at entries that are cut off from the others for a long time. */
    @Test
    void partitionedEntriesGetTheirOwnShares() {
        EntrySimulation simulation = new EntrySimulation(12, 12, UNITS_PER_SECOND);
        simulation.distributeShares();
        simulation.partitionedEntries = Set.of("entry0", "entry1", "entry2", "entry3");
        simulation.runLoad(0.4, Duration.ofSeconds(20));
        simulation.requestCount = 0;
        simulation.refusedCount = 0;
        simulation.runLoad(0.4, Duration.ofSeconds(30));
        assertThat(simulation.refusedRatio()).isLessThan(0.15);
        simulation.assertWithinRate();
    }

    /** Guards against long waits and refusals because a holder does not answer but still counts as reachable. */
    @Test
    void unresponsiveHolderCausesFewRefusalsAndShortDelays() {
        EntrySimulation simulation = new EntrySimulation(9, 33, UNITS_PER_SECOND);
        simulation.distributeShares();
        simulation.unresponsiveEntry =
                simulation.entries.get(0).quotas.otherHolders(ACCOUNT_ID).get(0);
        simulation.runLoad(0.4, Duration.ofSeconds(30));
        assertThat(simulation.refusedRatio()).isLessThan(0.02);
        assertThat(simulation.longestDecision).isLessThanOrEqualTo(Duration.ofMillis(400));
    }

    /** Guards against an account exceeding its rate when grants are lost, holders change and answers arrive late. */
    @Property(tries = 60)
    void totalAdmissionStaysWithinTheRateDespiteMessageLoss(@ForAll long seed) {
        EntrySimulation simulation = new EntrySimulation(seed, 12, UNITS_PER_SECOND);
        simulation.lossRatio = 0.1;
        simulation.distributeShares();
        for (int second = 0; second < 20; second++) {
            simulation.runLoad(simulation.random.nextDouble() * 4, Duration.ofSeconds(1));
            simulation.hiddenEntry = simulation.random.nextInt(3) == 0 ? "entry" + simulation.random.nextInt(12) : "";
        }
        simulation.assertWithinRate();
    }

    private static final class SimulatedEntry {
        private final String name;
        private final Lease lease;
        private final Quotas quotas;
        private final QuotaAdmission admission;

        private SimulatedEntry(String name, EntrySimulation simulation) {
            this.name = name;
            this.lease = new Lease(simulation.time, simulation.time::wallMillis);
            this.quotas = new Quotas(name, lease, TOLERANCE, simulation.time, (event, id, fields) -> {});
            this.quotas.configure(Map.of(ACCOUNT_ID, simulation.account), LATENCY_OBJECTIVE);
            this.admission = new QuotaAdmission(
                    quotas,
                    (entry, number, account, units) -> simulation.deliverUnitRequest(this, entry, number, units),
                    simulation.time,
                    simulation.time,
                    simulation.random);
        }
    }

    /** Entries that share one stored row, and links between them that delay and lose messages. */
    private static final class EntrySimulation {
        private final Account account;
        private final Random random;
        private final VirtualTime time = new VirtualTime();
        private final List<SimulatedEntry> entries = new ArrayList<>();
        private final Map<String, SimulatedEntry> byName = new HashMap<>();
        private final List<double[]> admitted = new ArrayList<>();
        private Optional<Row> row = Optional.empty();
        private long lastVersion = 1;
        private int requestCount;
        private int refusedCount;
        private String unresponsiveEntry = "";
        private boolean allUnresponsive;
        private long silentUntil;
        private String hiddenEntry = "";
        private boolean linksOpen = true;
        private Set<String> partitionedEntries = Set.of();
        private double lossRatio;
        private Duration longestDecision = Duration.ZERO;

        private EntrySimulation(long seed, int count, double rate) {
            this.account = new Account(ACCOUNT_ID, rate, BURST_UNITS, true, 200, OptionalInt.empty());
            this.random = new Random(seed);
            IntStream.range(0, count).forEach(number -> entries.add(new SimulatedEntry("entry" + number, this)));
            entries.forEach(entry -> byName.put(entry.name, entry));
        }

        private void distributeShares() {
            renewLeases();
            for (int round = 0; round < 3; round++) {
                entries.forEach(this::updateShare);
            }
            // Buckets start half full; wait until they are full.
            time.advance(Duration.ofSeconds(2));
        }

        /** Lets all entries answer what they are asked only after a time. */
        private void silenceAll(Duration length) {
            silentUntil = time.nanos() + length.toNanos();
        }

        private Duration deliveryDelay() {
            Duration silence = Duration.ofNanos(Math.max(0, silentUntil - time.nanos()));
            return LINK_DELAY.plus(silence);
        }

        private void renewLeases() {
            entries.forEach(entry -> entry.lease.onRenewed(entry.lease.startRenewal(), 0));
        }

        private boolean deliverUnitRequest(SimulatedEntry from, String to, long number, double units) {
            if (!canReach(from.name, to) || !linksOpen) {
                return false;
            }
            if (allUnresponsive || to.equals(unresponsiveEntry) || isLost()) {
                return true;
            }
            time.schedule(deliveryDelay(), () -> {
                Quotas.Admission answer = byName.get(to).quotas.admitForPeer(ACCOUNT_ID, units);
                if (!isLost()) {
                    time.schedule(LINK_DELAY, () -> from.admission.onAnswer(number, answer));
                }
            });
            return true;
        }

        private boolean canReach(String one, String other) {
            boolean partitioned = partitionedEntries.contains(one) || partitionedEntries.contains(other);
            return one.equals(other) || !partitioned && !other.equals(hiddenEntry);
        }

        private boolean isLost() {
            return random.nextDouble() < lossRatio;
        }

        private void runLoad(double rateRatio, Duration length) {
            long steps = length.toMillis() / 10;
            double requestsPerStep = rateRatio * account.unitsPerSecond() / MEAN_UNITS / 100;
            for (long step = 0; step < steps; step++) {
                if (step % 50 == 0) {
                    renewLeases();
                    updateShare(entries.get(random.nextInt(entries.size())));
                }
                for (double remaining = requestsPerStep; remaining > 0; remaining--) {
                    if (random.nextDouble() < remaining) {
                        sendRequest();
                    }
                }
                time.advance(Duration.ofMillis(10));
            }
        }

        private void sendRequest() {
            requestCount++;
            double units = Math.min(8_000, 300 - Math.log(1 - random.nextDouble()) * (MEAN_UNITS - 300));
            long startNanos = time.nanos();
            SimulatedEntry entry = entries.get(random.nextInt(entries.size()));
            Cancellable call = entry.admission.admit(
                    account, units, REQUEST_TIMEOUT, decision -> onDecision(startNanos, units, decision));
            if (lossRatio > 0 && random.nextInt(20) == 0) {
                time.schedule(Duration.ofMillis(3), call::cancel);
            }
        }

        private void onDecision(long startNanos, double units, Quotas.Admission decision) {
            Duration elapsed = Duration.ofNanos(time.nanos() - startNanos);
            longestDecision = elapsed.compareTo(longestDecision) > 0 ? elapsed : longestDecision;
            if (decision.admitted()) {
                long at = time.nanos() + decision.delay().orElse(Duration.ZERO).toNanos();
                admitted.add(new double[] {at / 1e9, units});
            } else {
                refusedCount++;
            }
        }

        /** Commits a change of an entry's share; with message loss, some of the entries learn of it only later. */
        private void updateShare(SimulatedEntry entry) {
            List<String> reachable = entries.stream()
                    .map(each -> each.name)
                    .filter(name -> canReach(entry.name, name))
                    .toList();
            Optional<Transaction> change = entry.quotas.proposeTransaction(reachable, Map.of());
            if (change.isPresent()) {
                commit(entry, change.get());
            }
            entries.stream()
                    .filter(each -> lossRatio == 0 || random.nextInt(3) > 0)
                    .forEach(each -> each.quotas.applyRow("share/acme", row));
        }

        private void commit(SimulatedEntry entry, Transaction change) {
            boolean current = change.conditions().get(0).version()
                    == row.map(Row::version).orElse(Transaction.ABSENT_VERSION);
            if (!current) {
                entry.quotas.onTransactionRefused();
                return;
            }
            Transaction.Write write = change.writes().get(0);
            row = Optional.of(new Row(write.key(), ++lastVersion, write.value().orElseThrow()));
            assertThat(ShareRow.parse(row.get().value())).isPresent();
            entry.quotas.applyRow("share/acme", row);
        }

        private double refusedRatio() {
            return (double) refusedCount / requestCount;
        }

        private double admittedUnits() {
            return admitted.stream().mapToDouble(each -> each[1]).sum();
        }

        private void assertWithinRate() {
            double allowed = (UNITS_PER_SECOND * 8 + BURST_UNITS) * 1.1 + 11_000;
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
