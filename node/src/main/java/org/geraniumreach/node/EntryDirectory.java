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
    private final Map<String, EntryRow> entryRows = new HashMap<>();
    private final Map<String, Double> capacities = new HashMap<>();
    private final long startedAt;
    private List<String> reachableInstances = List.of();
    private boolean tableRead;
    private boolean claimInProgress;
    private boolean shareUpdateInProgress;
    private boolean leaseReadInProgress;
    private boolean registered;
    private boolean registrationInProgress;
    private long leasesReadAt = Long.MIN_VALUE;
    private boolean stopped;

    /** What a table works with. */
    record Dependencies(
            StorePort store,
            TargetOwnership ownership,
            Quotas quotas,
            AdapterLoadCoordinator coordinator,
            EntryLinks links,
            Timers timers,
            MonotonicClock clock,
            StoreAvailability availability,
            DecisionLog log) {}

    EntryDirectory(ProcessSettings settings, long incarnation, Dependencies parts) {
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
        register();
        tick();
    }

    void stop() {
        stopped = true;
    }

    private void register() {
        if (registered || registrationInProgress) {
            return;
        }
        registrationInProgress = true;
        Transaction transaction = Transaction.empty()
                .withWrite(
                        EntryRow.key(TargetOwnership.FLEET_TABLE, settings.instance()),
                        new EntryRow(settings.linkAddress(), incarnation).toText())
                .withWrite(
                        CapacityRow.key(TargetOwnership.FLEET_TABLE, settings.instance()),
                        CapacityRow.toText(settings.capacity()));
        commit(transaction, committed -> {
            registrationInProgress = false;
            registered = committed.isPresent();
        });
    }

    /** Tells of a decision of the store, or of none where nobody knows. */
    private void commit(Transaction transaction, Consumer<Optional<StorePort.CommitResult>> decided) {
        TimeoutCallback<StoreReply<StorePort.CommitResult>> answer = new TimeoutCallback<>(reply -> {
            availability.record(reply);
            boolean known = reply instanceof StoreReply.Value<StorePort.CommitResult>;
            decided.accept(
                    known ? Optional.of(((StoreReply.Value<StorePort.CommitResult>) reply).value()) : Optional.empty());
        });
        answer.startTimeout(STORE_TIMEOUT, new StoreReply.Unknown<>("no answer to a transaction"), timers);
        answer.setCall(store.commit(transaction, answer));
    }

    /** Takes the table's news. */
    void onTableUpdate(StorePort.TableUpdate<RowChange> news) {
        tableRead = true;
        for (RowChange change : news.items()) {
            applyRow(change.key(), change.row());
        }
        updateLinks();
        coordinator.refresh();
    }

    private void applyRow(String key, Optional<Row> row) {
        if (TargetOwnership.isHolderRow(key)) {
            ownership.updateHolder(key, row);
        } else if (Quotas.isShareRow(key)) {
            quotas.applyRow(key, row);
        } else if (EntryRow.isEntryRow(key)) {
            applyEntryRow(EntryRow.instance(key), row);
        } else if (CapacityRow.isCapacityRow(key)) {
            applyCapacityRow(CapacityRow.instance(key), row);
        }
    }

    private void applyEntryRow(String instance, Optional<Row> row) {
        Optional<EntryRow> parsed = row.flatMap(present -> EntryRow.parse(present.value()));
        if (parsed.isEmpty()) {
            entryRows.remove(instance);
            log.write(EventCode.INSTANCE_LEFT, instance);
            return;
        }
        entryRows.put(instance, parsed.get());
        log.write(
                EventCode.INSTANCE_JOINED,
                instance,
                Field.of("incarnation", parsed.get().incarnation()));
    }

    private void applyCapacityRow(String instance, Optional<Row> row) {
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

    private void updateLinks() {
        Map<String, InetSocketAddress> others = new HashMap<>();
        entryRows.forEach((instance, row) -> {
            if (!instance.equals(settings.instance())) {
                others.put(instance, row.linkAddress());
            }
        });
        links.setOtherEntries(others);
    }

    private void tick() {
        if (stopped) {
            return;
        }
        timers.schedule(TICK_INTERVAL, this::tick);
        register();
        reconcile();
    }

    /** Takes over what is to be taken over; run at each tick and after each renewal of the lease. */
    void reconcile() {
        if (!tableRead || stopped) {
            return;
        }
        reachableInstances = findReachableInstances();
        coordinator.refresh();
        claimTargets();
        updateShares();
        readLeases();
    }

    private void claimTargets() {
        if (claimInProgress) {
            return;
        }
        List<String> known = new ArrayList<>(entryRows.keySet());
        if (!known.contains(settings.instance())) {
            known.add(settings.instance());
        }
        ownership
                .claim(coordinator.targetsNeedingOwner(), known, links::isConnected)
                .ifPresent(transaction -> {
                    claimInProgress = true;
                    commit(transaction, decision -> {
                        claimInProgress = false;
                        decision.filter(StorePort.CommitResult::committed)
                                .ifPresent(done -> applyWrites(transaction, done.version()));
                    });
                });
    }

    private void updateShares() {
        boolean settled = clock.nanos() - startedAt >= SETTLING_TIME.toNanos();
        if (shareUpdateInProgress || !settled) {
            return;
        }
        Map<String, Long> abandoned = ownership.endedEntries(Quotas.SHARE_TAKEOVER_DELAY);
        quotas.proposeTransaction(reachableInstances, abandoned).ifPresent(transaction -> {
            shareUpdateInProgress = true;
            commit(transaction, decision -> onShareUpdateDecided(transaction, decision));
        });
    }

    private List<String> findReachableInstances() {
        List<String> found = new ArrayList<>();
        found.add(settings.instance());
        entryRows.keySet().stream()
                .filter(entry -> !entry.equals(settings.instance()) && links.isConnected(entry))
                .forEach(found::add);
        return found;
    }

    private void onShareUpdateDecided(Transaction transaction, Optional<StorePort.CommitResult> decision) {
        shareUpdateInProgress = false;
        if (decision.isEmpty()) {
            // It may have been done, so what it gave up stays given up until the table's news tell.
            return;
        }
        if (decision.get().committed()) {
            applyWrites(transaction, decision.get().version());
        } else {
            quotas.onTransactionRefused();
        }
    }

    private void applyWrites(Transaction transaction, long version) {
        for (Transaction.Write write : transaction.writes()) {
            RowKey key = write.key();
            applyRow(key.key(), write.value().map(value -> new Row(key, version, value)));
        }
        coordinator.refresh();
    }

    private void readLeases() {
        long now = clock.nanos();
        boolean due = leasesReadAt == Long.MIN_VALUE || now - leasesReadAt >= LEASE_READ_INTERVAL.toNanos();
        List<TargetId> targets = coordinator.targetsNeedingOwner();
        if (leaseReadInProgress || !due || !ownership.shouldReadLeases(targets, links::isConnected)) {
            return;
        }
        leaseReadInProgress = true;
        leasesReadAt = now;
        TimeoutCallback<StoreReply<StorePort.Page>> answer = new TimeoutCallback<>(reply -> {
            leaseReadInProgress = false;
            availability.record(reply);
            if (reply instanceof StoreReply.Value<StorePort.Page> value) {
                value.value().rows().forEach(this::onLeaseRead);
            }
        });
        answer.startTimeout(STORE_TIMEOUT, new StoreReply.Unknown<>("no answer to a reading"), timers);
        answer.setCall(store.read(StorePort.Table.LEASES, StorePort.Position.start(), () -> {}, answer));
    }

    private void onLeaseRead(StorePort.StoredRow row) {
        row.value()
                .ifPresent(value ->
                        ownership.updateLease(row.key(), row.version(), LeaseRenewer.releasedIncarnation(value)));
    }

    /** Gets the instances of all entries that have introduced themselves, whether they can be reached or not. */
    Collection<String> knownInstances() {
        return Collections.unmodifiableSet(entryRows.keySet());
    }

    /** Gets the number of entries that can be spoken to, this one too, as of the last tick. */
    int reachableEntryCount() {
        return Math.max(1, reachableInstances.size());
    }
}
