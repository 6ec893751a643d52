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
import org.geraniumreach.gateway.store.UnreadableRows;
import org.geraniumreach.gateway.stream.ServiceVersions;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * Maintains this entry's view of the entries' table, with all entries, the holders of targets, the quota shares, the software versions of services and what is refused, and writes its changes.
 *
 * <p>Invariant: at most one transaction of each kind is in progress, and its outcome is taken only from the store's answer or from an
 * update of the table. Confined to the event loop.
 */
final class EntryDirectory {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);

    /** A quarter of the duration of a lease; leases are read only while an entry is unreachable. */
    private static final Duration LEASE_READ_INTERVAL = Duration.ofSeconds(2);

    /** By then, entries that start together have read each other's rows and can divide the accounts' rates evenly. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(1_500);

    private final ProcessSettings settings;
    private final long incarnation;
    private final StorePort store;
    private final TargetOwnership ownership;
    private final Quotas quotas;
    private final ServiceVersions versions;
    private final SuspectRows suspects;
    private final AdapterLoadCoordinator coordinator;
    private final EntryLinks links;
    private final Timers timers;
    private final MonotonicClock clock;
    private final StoreAvailability availability;
    private final UnreadableRows unreadableRows;
    private final DecisionLog log;
    private final Map<String, EntryRow> entryRows = new HashMap<>();
    private final Map<String, Double> capacities = new HashMap<>();
    private final long startedAt;
    private List<String> reachableInstances = List.of();
    private boolean tableRead;
    private boolean claimInProgress;
    private boolean shareUpdateInProgress;
    private boolean leaseReadInProgress;
    private boolean versionUpdateInProgress;
    private boolean suspectUpdateInProgress;
    private boolean registered;
    private boolean registrationInProgress;
    private long leasesReadAt = Long.MIN_VALUE;
    private boolean stopped;

    /** The collaborators of a directory. */
    record Dependencies(
            StorePort store,
            TargetOwnership ownership,
            Quotas quotas,
            ServiceVersions versions,
            SuspectRows suspects,
            AdapterLoadCoordinator coordinator,
            EntryLinks links,
            Timers timers,
            MonotonicClock clock,
            StoreAvailability availability,
            UnreadableRows unreadableRows,
            DecisionLog log) {}

    EntryDirectory(ProcessSettings settings, long incarnation, Dependencies dependencies) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.incarnation = incarnation;
        this.store = dependencies.store();
        this.ownership = dependencies.ownership();
        this.quotas = dependencies.quotas();
        this.versions = dependencies.versions();
        this.suspects = dependencies.suspects();
        this.coordinator = dependencies.coordinator();
        this.links = dependencies.links();
        this.timers = dependencies.timers();
        this.clock = dependencies.clock();
        this.availability = dependencies.availability();
        this.unreadableRows = dependencies.unreadableRows();
        this.log = dependencies.log();
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

    /** Commits a transaction; the callback gets the store's decision, empty if it is unknown. */
    private void commit(Transaction transaction, Consumer<Optional<StorePort.CommitResult>> callback) {
        TimeoutCallback<StoreReply<StorePort.CommitResult>> answer = new TimeoutCallback<>(reply -> {
            availability.record(reply);
            boolean answered = reply instanceof StoreReply.Value<StorePort.CommitResult>;
            callback.accept(
                    answered
                            ? Optional.of(((StoreReply.Value<StorePort.CommitResult>) reply).value())
                            : Optional.empty());
        });
        answer.startTimeout(STORE_TIMEOUT, new StoreReply.Unknown<>("no answer to a transaction"), timers);
        answer.setCall(store.commit(transaction, answer));
    }

    /** Commits a transaction, and applies its writes at once if the store has accepted it. */
    private void commitAndApply(Transaction transaction, Runnable onDecided) {
        commit(transaction, decision -> {
            onDecided.run();
            decision.filter(StorePort.CommitResult::committed)
                    .ifPresent(result -> applyWrites(transaction, result.version()));
        });
    }

    /** Applies an update of the entries' table. */
    void onTableUpdate(StorePort.TableUpdate<RowChange> update) {
        tableRead = true;
        for (RowChange change : update.items()) {
            tryApplyRow(change.key(), change.row());
        }
        updateLinks();
        coordinator.refresh();
    }

    /** Applies a row, which may be one of another writer. */
    private void tryApplyRow(String key, Optional<Row> row) {
        try {
            applyRow(key, row);
        } catch (IllegalArgumentException unreadable) {
            unreadableRows.record(StorePort.Table.FLEET, key, String.valueOf(unreadable.getMessage()));
        }
    }

    private void applyRow(String key, Optional<Row> row) {
        if (TargetOwnership.isHolderRow(key)) {
            ownership.updateHolder(key, row);
        } else if (Quotas.isShareRow(key)) {
            quotas.applyRow(key, row);
        } else if (ServiceVersions.isVersionRow(key)) {
            versions.applyRow(key, row);
        } else if (SuspectRows.isSuspectRow(key)) {
            suspects.applyRow(key, row);
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

    /** Gets an entry's capacity in processor cores, 1 if it has published none. */
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

    /** Claims targets, updates shares and versions, and reads leases as needed; called at each tick and after each renewal of the lease. */
    void reconcile() {
        if (!tableRead || stopped) {
            return;
        }
        reachableInstances = findReachableInstances();
        coordinator.refresh();
        claimTargets();
        updateShares();
        updateVersions();
        updateSuspects();
        readLeases();
    }

    private void claimTargets() {
        if (claimInProgress) {
            return;
        }
        List<String> instances = new ArrayList<>(entryRows.keySet());
        if (!instances.contains(settings.instance())) {
            instances.add(settings.instance());
        }
        ownership
                .claim(coordinator.targetsNeedingOwner(), instances, links::isConnected)
                .ifPresent(transaction -> {
                    claimInProgress = true;
                    commitAndApply(transaction, () -> claimInProgress = false);
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

    private void updateVersions() {
        if (versionUpdateInProgress) {
            return;
        }
        versions.proposeTransaction(reachableInstances, settings.instance()).ifPresent(transaction -> {
            versionUpdateInProgress = true;
            commitAndApply(transaction, () -> versionUpdateInProgress = false);
        });
    }

    private void updateSuspects() {
        if (suspectUpdateInProgress) {
            return;
        }
        boolean linkMissing = reachableInstances.size() < entryRows.size();
        suspects.proposeTransaction(TargetOwnership.FLEET_TABLE, settings.instance(), linkMissing)
                .ifPresent(transaction -> {
                    suspectUpdateInProgress = true;
                    commitAndApply(transaction, () -> suspectUpdateInProgress = false);
                });
    }

    private List<String> findReachableInstances() {
        List<String> instances = new ArrayList<>();
        instances.add(settings.instance());
        entryRows.keySet().stream()
                .filter(entry -> !entry.equals(settings.instance()) && links.isConnected(entry))
                .forEach(instances::add);
        return instances;
    }

    private void onShareUpdateDecided(Transaction transaction, Optional<StorePort.CommitResult> decision) {
        shareUpdateInProgress = false;
        if (decision.isEmpty()) {
            // The transaction may have been committed, so released shares stay released until an update of the table
            // shows the outcome.
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

    /** Gets the instances of all registered entries, reachable or not, as a read-only view. */
    Collection<String> knownInstances() {
        return Collections.unmodifiableSet(entryRows.keySet());
    }

    /** Gets the number of reachable entries as of the last tick, including this one. */
    int reachableEntryCount() {
        return Math.max(1, reachableInstances.size());
    }
}
