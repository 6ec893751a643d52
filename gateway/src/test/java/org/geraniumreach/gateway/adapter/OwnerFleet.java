package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StoreReply;
import org.geraniumreach.gateway.store.FeedReader;
import org.geraniumreach.gateway.store.FeedRelay;
import org.geraniumreach.gateway.store.FeedUpdate;
import org.geraniumreach.gateway.store.LeaseRenewer;
import org.geraniumreach.gateway.store.StoreAvailability;
import org.geraniumreach.gateway.store.StoreClock;
import org.geraniumreach.gateway.store.UnreadableRows;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * Entries in virtual time that own targets by leases of one store, order each target that they own all the time, and may be frozen
 * or turned away by the store.
 *
 * <p>Confined to one thread.
 */
final class OwnerFleet {

    /** Within this time, no two entries may order a target in turn. */
    private static final long TURN_MILLIS = 3_000;

    /** Orders that arrive within this time after their entry was frozen do not count. */
    private static final long THAW_MILLIS = 300;

    private static final Duration STORE_DELAY = Duration.ofMillis(2);
    private static final Duration ORDER_DELAY = Duration.ofMillis(1);
    private static final Duration ORDER_INTERVAL = Duration.ofMillis(50);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);
    private static final Duration LEASE_READ_INTERVAL = Duration.ofSeconds(2);
    private static final Duration LONG_POLL_CHECK_INTERVAL = Duration.ofMillis(20);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final FeedReader.Timing FLEET_TIMING = new FeedReader.Timing(
            Duration.ofSeconds(4), Duration.ofMillis(900), Duration.ofSeconds(1), Duration.ofMillis(4_500));

    private final VirtualTime time = new VirtualTime();
    private final Map<String, TreeMap<String, StorePort.StoredRow>> tables = new HashMap<>();
    private final Map<TargetId, AcceptedOrder> lastOrders = new HashMap<>();
    private final List<TargetId> targets;
    private final List<Entry> entries = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private long storeVersion;
    private int fleetReads;

    /** The last order that a target has accepted. */
    private record AcceptedOrder(String entry, long fence, long atMillis) {}

    OwnerFleet(int entryCount, int targetCount) {
        targets = IntStream.range(0, targetCount)
                .mapToObj(number -> TargetId.of("t" + number))
                .toList();
        for (int number = 0; number < entryCount; number++) {
            entries.add(new Entry("entry" + number));
        }
        entries.forEach(Entry::start);
    }

    void advance(Duration duration) {
        time.advance(duration);
    }

    List<Entry> entries() {
        return entries;
    }

    /** Gets the entry that has ordered a target last. */
    Entry lastOwner() {
        String name = lastOrders.get(targets.get(0)).entry();
        return entries.stream()
                .filter(entry -> entry.name.equals(name))
                .findFirst()
                .orElseThrow();
    }

    List<String> violations() {
        return violations;
    }

    int fleetReads() {
        return fleetReads;
    }

    /** Queries whether each target has been ordered within a time. */
    boolean isEachTargetOrderedWithin(Duration duration) {
        return targets.stream()
                .allMatch(target -> lastOrders.containsKey(target)
                        && millis() - lastOrders.get(target).atMillis() <= duration.toMillis());
    }

    private long millis() {
        return time.nanos() / NANOS_PER_MILLI;
    }

    private void onOrder(TargetId target, Entry sender, long fence) {
        AcceptedOrder last = lastOrders.get(target);
        boolean thawing = millis() - sender.thawedAt < THAW_MILLIS;
        if (last != null && !last.entry().equals(sender.name) && !thawing) {
            long gap = millis() - last.atMillis();
            if (gap < TURN_MILLIS || fence <= last.fence()) {
                violations.add(target.value() + " gets an order of " + sender.name + " with " + fence + ", " + gap
                        + " ms after one of " + last.entry() + " with " + last.fence());
            }
        }
        lastOrders.put(target, new AcceptedOrder(sender.name, fence, millis()));
    }

    private TreeMap<String, StorePort.StoredRow> table(String name) {
        return tables.computeIfAbsent(name, unused -> new TreeMap<>());
    }

    private StorePort.Page read(StorePort.Table table, StorePort.Position position) {
        long after = position.version().orElse(Long.MIN_VALUE);
        List<StorePort.StoredRow> rows = table(tableName(table)).values().stream()
                .filter(row -> row.version() > after)
                .toList();
        return new StorePort.Page(rows, storeVersion, position.version().isEmpty(), millis());
    }

    private static String tableName(StorePort.Table table) {
        return table == StorePort.Table.FLEET ? TargetOwnership.FLEET_TABLE : TargetOwnership.LEASES_TABLE;
    }

    private StorePort.CommitResult commit(Transaction transaction) {
        boolean holds = transaction.conditions().stream()
                .allMatch(condition -> condition.version() == rowVersion(condition.key()));
        if (holds) {
            storeVersion++;
            transaction.writes().forEach(write -> table(write.key().table())
                    .put(write.key().key(), new StorePort.StoredRow(write.key().key(), storeVersion, write.value())));
        }
        return new StorePort.CommitResult(holds, storeVersion);
    }

    private long rowVersion(RowKey key) {
        return Optional.ofNullable(table(key.table()).get(key.key()))
                .map(StorePort.StoredRow::version)
                .orElse(Transaction.ABSENT_VERSION);
    }

    /** How the store treats an entry that it turns away. */
    enum Refusal {
        /** Calls are neither performed nor answered. */
        SILENT,
        /** Calls are performed, but their answers are lost. */
        ANSWERS_LOST,
        /** Calls are refused at once. */
        REFUSED
    }

    /** An entry of the fleet. */
    final class Entry implements StorePort {
        private final String name;
        private final Lease lease;
        private final TargetOwnership ownership;
        private final FeedReader<RowChange> feed;
        private final LeaseRenewer renewer;
        private long stoppedNanos;
        private long wallStepMillis;
        private long frozenUntil = Long.MIN_VALUE;
        private long thawedAt = Long.MIN_VALUE / 2;
        private long refusedUntil = Long.MIN_VALUE;
        private long leasesReadAt = Long.MIN_VALUE / 2;
        private Refusal refusal = Refusal.SILENT;
        private boolean claiming;

        private Entry(String name) {
            this.name = name;
            this.lease = new Lease(this::nanos, () -> time.wallMillis() + wallStepMillis);
            this.ownership = new TargetOwnership(name, 1, lease, this::nanos);
            StoreAvailability availability = new StoreAvailability(this::nanos, (event, id, fields) -> {}, "");
            this.feed = new FeedReader<>(
                    Table.FLEET,
                    row -> Optional.of(RowChange.of(TargetOwnership.FLEET_TABLE, row)),
                    update -> update.items().forEach(change -> ownership.updateHolder(change.key(), change.row())),
                    availability,
                    FLEET_TIMING,
                    new FeedReader.Context(
                            this,
                            this::schedule,
                            this::nanos,
                            new StoreClock(this::nanos),
                            new NoRelay(),
                            new UnreadableRows((event, id, fields) -> {}),
                            (event, id, fields) -> {}));
            this.ownership.term().setTableVersion(feed::version);
            this.renewer = new LeaseRenewer(lease, this, this::schedule, availability, name, 1, this::onRenewed);
        }

        private long nanos() {
            return time.nanos() - stoppedNanos;
        }

        private boolean isFrozen() {
            return millis() < frozenUntil;
        }

        private boolean isRefused() {
            return millis() < refusedUntil;
        }

        /** Suspends the process; its monotonic clock may stop with it. */
        void freeze(Duration duration, boolean clockStops) {
            frozenUntil = millis() + duration.toMillis();
            thawedAt = frozenUntil;
            time.schedule(duration, () -> stoppedNanos += clockStops ? duration.toNanos() : 0);
        }

        /** Lets the store turn this entry away. */
        void refuse(Duration duration, Refusal newRefusal) {
            refusedUntil = millis() + duration.toMillis();
            refusal = newRefusal;
        }

        void stepWallClock(Duration step) {
            wallStepMillis += step.toMillis();
        }

        private Cancellable schedule(Duration delay, Runnable action) {
            boolean[] cancelled = {false};
            time.schedule(delay, () -> runOnceAwake(action, cancelled));
            return () -> cancelled[0] = true;
        }

        private void runOnceAwake(Runnable action, boolean[] cancelled) {
            if (isFrozen()) {
                time.schedule(Duration.ofMillis(frozenUntil - millis() + 1), () -> runOnceAwake(action, cancelled));
            } else if (!cancelled[0]) {
                action.run();
            }
        }

        private void start() {
            feed.read();
            renewer.renew();
            tick();
            order();
        }

        private void onRenewed() {
            orderOwnedTargets();
            feed.readUpTo(ownership.term().startVersion(), this::orderOwnedTargets);
            claim();
        }

        private void tick() {
            schedule(TICK_INTERVAL, this::tick);
            claim();
            boolean due = millis() - leasesReadAt >= LEASE_READ_INTERVAL.toMillis();
            if (due && ownership.shouldReadLeases(targets, this::isReachable)) {
                leasesReadAt = millis();
                read(Table.LEASES, Position.start(), () -> {}, reply -> {
                    if (reply instanceof StoreReply.Value<Page> value) {
                        value.value()
                                .rows()
                                .forEach(row -> ownership.updateLease(row.key(), row.version(), OptionalLong.empty()));
                    }
                });
            }
        }

        private boolean isReachable(String other) {
            return entries.stream().anyMatch(entry -> entry.name.equals(other) && !entry.isFrozen());
        }

        private void claim() {
            if (claiming) {
                return;
            }
            List<String> names = entries.stream().map(entry -> entry.name).toList();
            ownership.claim(targets, names, this::isReachable).ifPresent(transaction -> {
                claiming = true;
                Cancellable timeout = schedule(Duration.ofMillis(1_500), () -> claiming = false);
                commit(transaction, reply -> {
                    timeout.cancel();
                    claiming = false;
                    if (reply instanceof StoreReply.Value<CommitResult> value
                            && value.value().committed()) {
                        transaction
                                .writes()
                                .forEach(
                                        write -> applyClaim(write, value.value().version()));
                    }
                });
            });
        }

        private void applyClaim(Transaction.Write write, long version) {
            ownership.updateHolder(write.key().key(), write.value().map(value -> new Row(write.key(), version, value)));
        }

        private void order() {
            schedule(ORDER_INTERVAL, this::order);
            orderOwnedTargets();
        }

        private void orderOwnedTargets() {
            targets.forEach(target -> ownership
                    .fence(target)
                    .ifPresent(fence -> time.schedule(ORDER_DELAY, () -> onOrder(target, this, fence))));
        }

        @Override
        public Cancellable read(
                Table table, Position position, Runnable onProgress, Consumer<StoreReply<Page>> onReply) {
            if (table == Table.FLEET && position.longPollWait().isZero()) {
                fleetReads++;
            }
            long until = millis() + position.longPollWait().toMillis();
            boolean[] cancelled = {false};
            time.schedule(STORE_DELAY, () -> poll(table, position, until, onReply, cancelled));
            return () -> cancelled[0] = true;
        }

        private void poll(
                Table table, Position position, long until, Consumer<StoreReply<Page>> onReply, boolean[] cancelled) {
            Page page = OwnerFleet.this.read(table, position);
            if (!isRefused() && page.rows().isEmpty() && millis() < until && !cancelled[0]) {
                time.schedule(LONG_POLL_CHECK_INTERVAL, () -> poll(table, position, until, onReply, cancelled));
                return;
            }
            perform(() -> page, onReply, cancelled);
        }

        @Override
        public Cancellable commit(Transaction transaction, Consumer<StoreReply<CommitResult>> onReply) {
            boolean[] cancelled = {false};
            time.schedule(STORE_DELAY, () -> perform(() -> OwnerFleet.this.commit(transaction), onReply, cancelled));
            return () -> cancelled[0] = true;
        }

        private <T> void perform(Supplier<T> call, Consumer<StoreReply<T>> onReply, boolean[] cancelled) {
            if (isRefused()) {
                if (refusal == Refusal.ANSWERS_LOST) {
                    call.get();
                } else if (refusal == Refusal.REFUSED) {
                    answer(new StoreReply.Refused<>("refused"), onReply, cancelled);
                }
                return;
            }
            answer(new StoreReply.Value<>(call.get()), onReply, cancelled);
        }

        private <T> void answer(StoreReply<T> reply, Consumer<StoreReply<T>> onReply, boolean[] cancelled) {
            time.schedule(STORE_DELAY, () -> runOnceAwake(() -> onReply.accept(reply), cancelled));
        }
    }

    /** An entry that reads for itself alone. */
    private static final class NoRelay implements FeedRelay {

        @Override
        public boolean isReader() {
            return true;
        }

        @Override
        public void publish(FeedUpdate update) {
            // Nobody else reads what this entry has read.
        }
    }
}
