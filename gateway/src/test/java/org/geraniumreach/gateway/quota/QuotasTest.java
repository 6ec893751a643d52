package org.geraniumreach.gateway.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

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
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class QuotasTest {

    private static final AccountId ACCOUNT_ID = AccountId.of("acme");
    private static final double UNITS_PER_SECOND = 10_000;
    private static final Account ACCOUNT =
            new Account(ACCOUNT_ID, UNITS_PER_SECOND, UNITS_PER_SECOND, true, 200, OptionalInt.empty());
    private static final Quotas.Tolerance TOLERANCE = new Quotas.Tolerance(0.1, 11_000, Duration.ofSeconds(8));
    private static final Duration LATENCY_OBJECTIVE = Duration.ofMillis(1_000);
    private static final Duration MAX_WAIT = Duration.ofMillis(400);
    private static final int MANY_ACCOUNTS = 300;

    /** The store refuses transactions with more conditions and writes. */
    private static final int MAXIMUM_TRANSACTION_ROWS = 100;

    private static final List<String> ENTRY_NAMES = List.of("entry0", "entry1", "entry2", "entry3");

    // Guards against two entries spending the same part of a rate. Entries change their shares as demand moves,
    // transactions conflict, their answers are lost, and entries learn of new rows late.
    @Property(tries = 300)
    void totalAdmissionStaysWithinRateBurstAndTolerance(@ForAll long seed) {
        new EntrySimulation(seed).run();
    }

    // Guards against spending shares that other entries may have taken over while this entry was cut off from the
    // store.
    @Test
    void entryWithExpiredLeaseAdmitsNothing() {
        EntrySimulation simulation = new EntrySimulation(1);
        simulation.distributeShares();
        SimulatedEntry entry = simulation.firstHolder();
        assertThat(entry.quotas.admit(ACCOUNT, 10).admitted()).isTrue();
        simulation.time.advance(Quotas.SHARE_VALIDITY);
        assertThat(entry.quotas.admit(ACCOUNT, 10).admitted()).isFalse();
    }

    // Guards against 429 for callers far below their rates: a drain releases the lease, which must not invalidate the
    // entry's shares.
    @Test
    void drainingEntryStillAdmitsFromItsShares() {
        EntrySimulation simulation = new EntrySimulation(1);
        simulation.distributeShares();
        SimulatedEntry entry = simulation.firstHolder();
        entry.lease.release();
        assertThat(entry.quotas.admit(ACCOUNT, 10).admitted()).isTrue();
    }

    // Guards against 429 until the next renewal because the wall clock was stepped. A step below the validity of
    // shares must not count as a freeze of the process.
    @ParameterizedTest
    @ValueSource(longs = {-2_400, 2_400})
    void wallClockJumpDoesNotStopAdmission(long stepMillis) {
        EntrySimulation simulation = new EntrySimulation(1);
        simulation.distributeShares();
        simulation.time.stepWallClock(Duration.ofMillis(stepMillis));
        SimulatedEntry entry = simulation.firstHolder();
        assertThat(entry.quotas.admit(ACCOUNT, 10).admitted()).isTrue();
    }

    // Guards against spending shares that other entries have taken over during a freeze in which the steady clock
    // stood still.
    @Test
    void entryFrozenBeyondItsLeaseAdmitsNothing() {
        EntrySimulation simulation = new EntrySimulation(1);
        simulation.distributeShares();
        simulation.time.stepWallClock(Quotas.SHARE_VALIDITY);
        SimulatedEntry entry = simulation.firstHolder();
        assertThat(entry.quotas.admit(ACCOUNT, 10).admitted()).isFalse();
    }

    // Guards against a refusal that does not say when the account has units again.
    @Test
    void refusalAboveTheRateCarriesARetryDelay() {
        EntrySimulation simulation = new EntrySimulation(1);
        simulation.distributeShares();
        SimulatedEntry entry = simulation.firstHolder();
        Quotas.Admission admission = entry.quotas.admit(ACCOUNT, 1_000);
        while (admission.admitted()) {
            admission = entry.quotas.admit(ACCOUNT, 1_000);
        }
        assertThat(admission.delay()).isPresent();
        assertThat(admission.delay().get()).isGreaterThan(MAX_WAIT).isLessThan(Duration.ofSeconds(5));
    }

    // Guards against late answers under overload: at six times the rate the queue stays at its maximum length, so a
    // wait limit of 0.4 s would delay every admitted request by that time.
    @Test
    void admittedRequestsWaitOnlyBrieflyUnderOverload() {
        Overload overload = new Overload(Duration.ofMillis(100));
        overload.run(Duration.ofSeconds(10));
        assertThat(overload.longestWait).isLessThanOrEqualTo(Duration.ofMillis(40));
    }

    // Guards against short requests taking all refilled units, so that hardly any long one runs. The admitted ratio
    // of long requests must be more than half that of short ones.
    @Test
    void longRequestsAreNotStarvedUnderOverload() {
        Overload overload = new Overload(Duration.ofMillis(100));
        overload.run(Duration.ofSeconds(10));
        double shortPart = (double) overload.shortAdmitted / overload.shortRequests;
        double longPart = (double) overload.longAdmitted / overload.longRequests;
        assertThat(longPart).isGreaterThan(shortPart / 2);
    }

    /** Guards against an entry that never gets shares since the store refuses a transaction with too many rows. */
    @Test
    void sharesOfManyAccountsAreTakenInTransactionsThatTheStoreAccepts() {
        VirtualTime time = new VirtualTime();
        Quotas quotas =
                new Quotas("entry0", new Lease(time, time::wallMillis), TOLERANCE, time, (event, id, fields) -> {});
        Map<AccountId, Account> accounts = IntStream.range(0, MANY_ACCOUNTS)
                .mapToObj(number -> AccountId.of("acme" + number))
                .collect(Collectors.toMap(id -> id, id -> new Account(id, 10, 10, true, 200, OptionalInt.empty())));
        quotas.configure(accounts, LATENCY_OBJECTIVE);
        long version = 0;
        Optional<Transaction> change = quotas.proposeTransaction(List.of("entry0", "entry1"), Map.of());
        while (change.isPresent()) {
            assertThat(change.get().conditions().size() + change.get().writes().size())
                    .isLessThanOrEqualTo(MAXIMUM_TRANSACTION_ROWS);
            version++;
            for (Transaction.Write write : change.get().writes()) {
                Row row = new Row(write.key(), version, write.value().orElseThrow());
                quotas.applyRow(write.key().key(), Optional.of(row));
            }
            change = quotas.proposeTransaction(List.of("entry0", "entry1"), Map.of());
        }
        assertThat(accounts.keySet()).allMatch(quotas::hasShare);
    }

    /** An account that asks an entry holding its whole rate for six times that rate; half of the units are for long requests. */
    private static final class Overload {
        private static final int SHORT_REQUEST_UNITS = 200;
        private static final int LONG_REQUEST_UNITS = 2_000;

        /** With equal units in long and short requests, a request every 6 ms makes six times the rate. */
        private static final long MEAN_GAP_NANOS = 6_000_000;

        private final SplittableRandom random = new SplittableRandom(11);
        private final VirtualTime time = new VirtualTime();
        private final Quotas quotas;
        private Duration longestWait = Duration.ZERO;
        private int shortRequests;
        private int shortAdmitted;
        private int longRequests;
        private int longAdmitted;

        private Overload(Duration shortestObjective) {
            Lease lease = new Lease(time, time::wallMillis);
            lease.onRenewed(lease.startRenewal(), 0);
            quotas = new Quotas("one", lease, TOLERANCE, time, (event, id, fields) -> {});
            quotas.configure(Map.of(ACCOUNT_ID, ACCOUNT), shortestObjective);
            ShareRow all = ShareRow.empty().with("one", new ShareRow.Share(ShareRow.TOTAL_PARTS, 0));
            RowKey key = RowKey.of(TargetOwnership.FLEET_TABLE, "share/acme");
            quotas.applyRow(key.key(), Optional.of(new Row(key, 1, all.toText())));
        }

        private void run(Duration length) {
            long end = time.nanos() + length.toNanos();
            while (time.nanos() < end) {
                time.advance(Duration.ofNanos(random.nextLong(MEAN_GAP_NANOS * 2)));
                if (random.nextInt(LONG_REQUEST_UNITS + SHORT_REQUEST_UNITS) < SHORT_REQUEST_UNITS) {
                    longRequests++;
                    longAdmitted += admit(LONG_REQUEST_UNITS) ? 1 : 0;
                } else {
                    shortRequests++;
                    shortAdmitted += admit(SHORT_REQUEST_UNITS) ? 1 : 0;
                }
            }
        }

        private boolean admit(int units) {
            Quotas.Admission admission = quotas.admit(ACCOUNT, units);
            if (admission.admitted() && admission.delay().orElseThrow().compareTo(longestWait) > 0) {
                longestWait = admission.delay().get();
            }
            return admission.admitted();
        }
    }

    /** Guards against spending a share twice: at the entry that has taken it over, and at one that renews its lease after all. */
    @ParameterizedTest
    @CsvSource({
        "20000, true, true",
        "26000, false, false",
        "26000, true, true",
        "40000, false, false",
        "40000, true, true"
    })
    void aShareIsSpentAfterALongLapseOnlyOnceItsRowIsReadAgain(long lapseMillis, boolean read, boolean admitted) {
        VirtualTime time = new VirtualTime();
        Lease lease = new Lease(time, time::wallMillis);
        Quotas quotas = new Quotas("one", lease, TOLERANCE, time, (event, id, fields) -> {});
        AtomicLong tableVersion = new AtomicLong(10);
        quotas.term().setTableVersion(tableVersion::get);
        quotas.configure(Map.of(ACCOUNT_ID, ACCOUNT), LATENCY_OBJECTIVE);
        lease.onRenewed(lease.startRenewal(), 10);
        RowKey key = RowKey.of(TargetOwnership.FLEET_TABLE, "share/acme");
        ShareRow all = ShareRow.empty().with("one", new ShareRow.Share(ShareRow.TOTAL_PARTS, 0));
        quotas.applyRow(key.key(), Optional.of(new Row(key, 11, all.toText())));
        assertThat(quotas.admit(ACCOUNT, 1).admitted()).isTrue();
        time.advance(Duration.ofMillis(lapseMillis));
        lease.onRenewed(lease.startRenewal(), 20);
        tableVersion.set(read ? 20 : 19);
        assertThat(quotas.admit(ACCOUNT, 1).admitted()).isEqualTo(admitted);
    }

    private static final class SimulatedEntry {
        private final Lease lease;
        private final Quotas quotas;
        private double unitsPerSecond;

        private SimulatedEntry(String name, VirtualTime time) {
            this.lease = new Lease(time, time::wallMillis);
            this.quotas = new Quotas(name, lease, TOLERANCE, time, (event, id, fields) -> {});
            this.quotas.configure(Map.of(ACCOUNT_ID, ACCOUNT), LATENCY_OBJECTIVE);
        }
    }

    /** Entries that share one stored row. */
    private static final class EntrySimulation {
        private final SplittableRandom random;
        private final VirtualTime time = new VirtualTime();
        private final List<SimulatedEntry> entries = new ArrayList<>();
        private final Map<Long, Double> admittedUnitsByTime = new HashMap<>();
        private Optional<Row> row = Optional.empty();
        private long lastVersion = 1;

        private EntrySimulation(long seed) {
            this.random = new SplittableRandom(seed);
            for (int number = 0; number < 4; number++) {
                entries.add(new SimulatedEntry("entry" + number, time));
            }
        }

        /** Returns an entry that has a share. */
        private SimulatedEntry firstHolder() {
            return entries.stream()
                    .filter(entry -> entry.quotas.hasShare(ACCOUNT_ID))
                    .findFirst()
                    .orElseThrow();
        }

        private void distributeShares() {
            entries.forEach(entry -> entry.lease.onRenewed(entry.lease.startRenewal(), 0));
            entries.forEach(entry -> updateShare(entry, 2));
        }

        private void run() {
            distributeShares();
            long startNanos = time.nanos();
            for (int step = 0; step < 400; step++) {
                time.advance(Duration.ofMillis(50));
                if (step % 20 == 0) {
                    entries.forEach(
                            entry -> entry.unitsPerSecond = random.nextInt(3) * UNITS_PER_SECOND * random.nextDouble());
                }
                entries.forEach(entry -> entry.lease.onRenewed(entry.lease.startRenewal(), 0));
                entries.forEach(this::sendRequests);
                updateShare(entries.get(random.nextInt(entries.size())), random.nextInt(4));
                if (random.nextInt(3) == 0) {
                    deliverRow(entries.get(random.nextInt(entries.size())));
                }
            }
            assertWithinRate(startNanos);
        }

        private void sendRequests(SimulatedEntry entry) {
            double remainingUnits = entry.unitsPerSecond * 0.05;
            while (remainingUnits > 0) {
                double units = Math.min(remainingUnits, 200 + random.nextInt(3_000));
                if (entry.quotas.admit(ACCOUNT, units).admitted()) {
                    admittedUnitsByTime.merge(time.nanos(), units, Double::sum);
                }
                remainingUnits -= units;
            }
        }

        private void deliverRow(SimulatedEntry entry) {
            entry.quotas.applyRow("share/acme", row);
        }

        /**
         * Commits a change of an entry's share. The answer is lost if the given outcome is 0; a change based on an old row is
         * refused.
         */
        private void updateShare(SimulatedEntry entry, int outcome) {
            Optional<Transaction> change = entry.quotas.proposeTransaction(ENTRY_NAMES, Map.of());
            if (change.isEmpty()) {
                return;
            }
            long expected = change.get().conditions().get(0).version();
            boolean current = expected == row.map(Row::version).orElse(Transaction.ABSENT_VERSION);
            if (current) {
                Transaction.Write write = change.get().writes().get(0);
                row = Optional.of(
                        new Row(write.key(), ++lastVersion, write.value().orElseThrow()));
                assertThat(ShareRow.parse(row.get().value())).isPresent();
            }
            if (outcome == 0) {
                return;
            }
            if (current) {
                deliverRow(entry);
            } else {
                entry.quotas.onTransactionRefused();
                deliverRow(entry);
            }
        }

        private void assertWithinRate(long startNanos) {
            long window = Duration.ofSeconds(8).toNanos();
            double allowed = (UNITS_PER_SECOND * 8 + UNITS_PER_SECOND) * 1.1 + 11_000;
            for (long from = startNanos;
                    from <= time.nanos();
                    from += Duration.ofMillis(500).toNanos()) {
                long start = from;
                double sum = admittedUnitsByTime.entrySet().stream()
                        .filter(admission -> admission.getKey() >= start && admission.getKey() < start + window)
                        .mapToDouble(Map.Entry::getValue)
                        .sum();
                assertThat(sum).isLessThanOrEqualTo(allowed);
            }
        }
    }
}
