package org.geraniumreach.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StorePort.RowChange;
import org.geraniumreach.gateway.port.StoreReply;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.gateway.store.LeaseRenewer;
import org.geraniumreach.gateway.store.StoreAvailability;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * The entries' own table: who is there, who holds which target, who has which share.
 *
 * <p>Invariant: one transaction of a kind is under way at a time, and its outcome is believed only from the store's answer or from the
 * table's news. Confined to the event loop.
 */
final class EntryDirectory {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);

    /** Leases are read only while an entry is out of sight, at a quarter of what one lasts. */
    private static final Duration LEASE_READ_INTERVAL = Duration.ofSeconds(2);

    /** Entries that start together see each other's rows by then, and divide accounts' rates evenly. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(1_500);

    private final ProcessSettings settings;
    private final long incarnation;
    private final StorePort store;
    private final TargetOwnership ownership;
    private final Quotas quotas;
    private final AdapterLoadCoordinator coordinator;
    private final EntryLinks links;
    private final Timers timers;
    private final MonotonicClock clock;
    private final StoreAvailability availability;
    private final DecisionLog log;
    private final Map<String, EntryRow> entries = new HashMap<>();
    private final Map<String, Double> capacities = new HashMap<>();
    private final long startedAt;
    private List<String> reachable = List.of();
    private boolean read;
    private boolean claiming;
    private boolean sharing;
    private boolean readingLeases;
    private boolean introduced;
    private boolean introducing;
    private long leasesReadAt = Long.MIN_VALUE;
    private boolean stopped;

    /** What a table works with. */
    record Parts(
            StorePort store,
            TargetOwnership ownership,
            Quotas quotas,
            AdapterLoadCoordinator coordinator,
            EntryLinks links,
            Timers timers,
            MonotonicClock clock,
            StoreAvailability availability,
            DecisionLog log) {}

    EntryDirectory(ProcessSettings settings, long incarnation, Parts parts) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.incarnation = incarnation;
        this.store = parts.store();
        this.ownership = parts.ownership();
        this.quotas = parts.quotas();
        this.coordinator = parts.coordinator();
        this.links = parts.links();
        this.timers = parts.timers();
        this.clock = parts.clock();
        this.availability = parts.availability();
        this.log = parts.log();
        this.startedAt = clock.nanos();
    }

    void start() {
        introduce();
        tick();
    }

    void stop() {
        stopped = true;
    }

    private void introduce() {
        if (introduced || introducing) {
            return;
        }
        introducing = true;
        Transaction transaction = Transaction.empty()
                .withWrite(
                        EntryRow.key(TargetOwnership.FLEET_TABLE, settings.instance()),
                        new EntryRow(settings.linkAddress(), incarnation).toText())
                .withWrite(
                        CapacityRow.key(TargetOwnership.FLEET_TABLE, settings.instance()),
                        CapacityRow.toText(settings.capacity()));
        commit(transaction, committed -> {
            introducing = false;
            introduced = committed.isPresent();
        });
    }

    /** Tells of a decision of the store, or of none where nobody knows. */
    private void commit(Transaction transaction, Consumer<Optional<StorePort.CommitResult>> decided) {
        OneAnswer<StoreReply<StorePort.CommitResult>> answer = new OneAnswer<>(reply -> {
            availability.record(reply);
            boolean known = reply instanceof StoreReply.Value<StorePort.CommitResult>;
            decided.accept(
                    known ? Optional.of(((StoreReply.Value<StorePort.CommitResult>) reply).value()) : Optional.empty());
        });
        answer.within(STORE_TIMEOUT, new StoreReply.Unknown<>("no answer to a transaction"), timers);
        answer.from(store.commit(transaction, answer));
    }

    /** Takes the table's news. */
    void onNews(StorePort.TableUpdate<RowChange> news) {
        read = true;
        for (RowChange change : news.items()) {
            put(change.key(), change.row());
        }
        keepLinks();
        coordinator.refresh();
    }

    private void put(String key, Optional<Row> row) {
        if (TargetOwnership.isHolderRow(key)) {
            ownership.updateHolder(key, row);
        } else if (Quotas.isShareRow(key)) {
            quotas.applyRow(key, row);
        } else if (EntryRow.isEntryRow(key)) {
            putEntry(EntryRow.instance(key), row);
        } else if (CapacityRow.isCapacityRow(key)) {
            putCapacity(CapacityRow.instance(key), row);
        }
    }

    private void putEntry(String instance, Optional<Row> row) {
        Optional<EntryRow> parsed = row.flatMap(present -> EntryRow.parse(present.value()));
        if (parsed.isEmpty()) {
            entries.remove(instance);
            log.write(EventCode.INSTANCE_LEFT, instance);
            return;
        }
        entries.put(instance, parsed.get());
        log.write(
                EventCode.INSTANCE_JOINED,
                instance,
                Field.of("incarnation", parsed.get().incarnation()));
    }

    private void putCapacity(String instance, Optional<Row> row) {
        Optional<Double> capacity = row.flatMap(present -> CapacityRow.parse(present.value()));
        if (capacity.isPresent()) {
            capacities.put(instance, capacity.get());
        } else {
            capacities.remove(instance);
        }
    }

    /** Gets an entry's capacity in processor cores, 1 if it has not said. */
    double capacity(String instance) {
        return capacities.getOrDefault(instance, 1.0);
    }

    private void keepLinks() {
        Map<String, InetSocketAddress> others = new HashMap<>();
        entries.forEach((instance, row) -> {
            if (!instance.equals(settings.instance())) {
                others.put(instance, row.links());
            }
        });
        links.keep(others);
    }

    private void tick() {
        if (stopped) {
            return;
        }
        timers.schedule(TICK_INTERVAL, this::tick);
        introduce();
        act();
    }

    /** Takes over what is to be taken over; run at each tick and after each renewal of the lease. */
    void act() {
        if (!read || stopped) {
            return;
        }
        reachable = reachable();
        coordinator.refresh();
        claim();
        share();
        readLeases();
    }

    private void claim() {
        if (claiming) {
            return;
        }
        List<String> known = new ArrayList<>(entries.keySet());
        if (!known.contains(settings.instance())) {
            known.add(settings.instance());
        }
        ownership.claim(coordinator.needingOwner(), known, links::isVisible).ifPresent(transaction -> {
            claiming = true;
            commit(transaction, decision -> {
                claiming = false;
                decision.filter(StorePort.CommitResult::committed)
                        .ifPresent(done -> apply(transaction, done.version()));
            });
        });
    }

    private void share() {
        boolean settled = clock.nanos() - startedAt >= SETTLING_TIME.toNanos();
        if (sharing || !settled) {
            return;
        }
        Map<String, Long> abandoned = ownership.endedEntries(Quotas.SHARE_TAKEOVER_DELAY);
        quotas.proposeTransaction(reachable, abandoned).ifPresent(transaction -> {
            sharing = true;
            commit(transaction, decision -> shared(transaction, decision));
        });
    }

    private List<String> reachable() {
        List<String> found = new ArrayList<>();
        found.add(settings.instance());
        entries.keySet().stream()
                .filter(entry -> !entry.equals(settings.instance()) && links.isVisible(entry))
                .forEach(found::add);
        return found;
    }

    private void shared(Transaction transaction, Optional<StorePort.CommitResult> decision) {
        sharing = false;
        if (decision.isEmpty()) {
            // It may have been done, so what it gave up stays given up until the table's news tell.
            return;
        }
        if (decision.get().committed()) {
            apply(transaction, decision.get().version());
        } else {
            quotas.onTransactionRefused();
        }
    }

    private void apply(Transaction transaction, long version) {
        for (Transaction.Write write : transaction.writes()) {
            RowKey key = write.key();
            put(key.key(), write.value().map(value -> new Row(key, version, value)));
        }
        coordinator.refresh();
    }

    private void readLeases() {
        long now = clock.nanos();
        boolean due = leasesReadAt == Long.MIN_VALUE || now - leasesReadAt >= LEASE_READ_INTERVAL.toNanos();
        List<TargetId> targets = coordinator.needingOwner();
        if (readingLeases || !due || !ownership.shouldReadLeases(targets, links::isVisible)) {
            return;
        }
        readingLeases = true;
        leasesReadAt = now;
        OneAnswer<StoreReply<StorePort.Page>> answer = new OneAnswer<>(reply -> {
            readingLeases = false;
            availability.record(reply);
            if (reply instanceof StoreReply.Value<StorePort.Page> value) {
                value.value().rows().forEach(this::sawLease);
            }
        });
        answer.within(STORE_TIMEOUT, new StoreReply.Unknown<>("no answer to a reading"), timers);
        answer.from(store.read(StorePort.Table.LEASES, StorePort.Position.start(), () -> {}, answer));
    }

    private void sawLease(StorePort.StoredRow row) {
        row.value()
                .ifPresent(value ->
                        ownership.updateLease(row.key(), row.version(), LeaseRenewer.releasedIncarnation(value)));
    }

    /** Gets the instances of all entries that have introduced themselves, whether they can be reached or not. */
    Collection<String> known() {
        return Collections.unmodifiableSet(entries.keySet());
    }

    /** Gets the number of entries that can be spoken to, this one too, as of the last tick. */
    int entries() {
        return Math.max(1, reachable.size());
    }
}
