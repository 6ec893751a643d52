package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

import org.geraniumreach.gateway.capacity.EntryCapacity;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * Tracks which entry owns each target, and claims targets for this entry.
 *
 * <p>Invariants: an entry sends orders to a target only with a fencing token that the store has issued to the current incarnation of
 * its process, and only while its lease is valid. After a lapse of the lease it sends none until it has read again who owns the
 * target. A target of another entry is claimed only after that entry's lease has been
 * observed unchanged for the lease time plus a {@link Lease#HANDOVER_GAP}, by a transaction that requires it to be still unchanged;
 * by then the former owner has stopped sending orders. Confined to the event loop.
 */
public final class TargetOwnership {

    /** The table of rows that the entries share, such as the owners of targets. */
    public static final String FLEET_TABLE = "fleet";

    /** The table of leases; separate, so that renewals do not complete the long polls of the fleet's table. */
    public static final String LEASES_TABLE = "leases";

    private static final String HOLDER_KEY_PREFIX = "holder/";

    /** Delay of a claim per rank, so that usually only the entry ranked first sends a transaction. */
    private static final Duration CLAIM_STAGGER = Duration.ofMillis(700);

    /** A restarted entry renews its lease within 2 s, so within this time it keeps what it had. */
    static final Duration RESTART_GRACE = Duration.ofSeconds(4);

    /** Targets claimed in one transaction; the store accepts 100 rows. */
    private static final int MAX_CLAIMS = 40;

    private final String self;
    private final long incarnation;
    private final Lease lease;
    private final LeaseTerm term;
    private final MonotonicClock clock;
    private final Map<TargetId, VersionedRow> holderRows = new HashMap<>();
    private final Map<String, ObservedLease> observedLeases = new HashMap<>();
    private final Map<TargetId, Long> claimableSince = new HashMap<>();
    private EntryCapacity capacity = EntryCapacity.uniform();

    private record VersionedRow(HolderRow row, long version) {}

    private record ObservedLease(long version, OptionalLong releasedBy, long observedAt) {}

    /**
     * Creates an ownership in which no owner is known.
     *
     * @param self this entry's instance, not null
     * @param incarnation the incarnation of this entry's process
     * @param lease this entry's lease, not null
     * @param clock the clock, not null
     */
    public TargetOwnership(String self, long incarnation, Lease lease, MonotonicClock clock) {
        this.self = Objects.requireNonNull(self, "self");
        this.incarnation = incarnation;
        this.lease = Objects.requireNonNull(lease, "lease");
        this.term = lease.trackTerm(lease::isValid);
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Sets the capacities by which entries are ranked as owners.
     *
     * @param newCapacity the capacities, not null
     */
    public void setCapacity(EntryCapacity newCapacity) {
        capacity = Objects.requireNonNull(newCapacity, "newCapacity");
    }

    /**
     * Gets the term in which this entry acts as an owner.
     *
     * @return the term, not null
     */
    public LeaseTerm term() {
        return term;
    }

    /**
     * Returns this entry's instance.
     *
     * @return the name of the instance, not null
     */
    public String self() {
        return self;
    }

    /**
     * Returns whether a row of {@link #FLEET_TABLE} names the owner of a target.
     *
     * @param key the row's key, not null
     * @return true if it does
     */
    public static boolean isHolderRow(String key) {
        return key.startsWith(HOLDER_KEY_PREFIX);
    }

    /**
     * Updates the owner of a target from its row.
     *
     * @param key the row's key, not null
     * @param row the row, or empty if it was removed, not null
     */
    public void updateHolder(String key, Optional<Row> row) {
        TargetId target = TargetId.of(key.substring(HOLDER_KEY_PREFIX.length()));
        Optional<VersionedRow> updated = row.flatMap(
                present -> HolderRow.parse(present.value()).map(parsed -> new VersionedRow(parsed, present.version())));
        VersionedRow previous = holderRows.get(target);
        if (updated.isEmpty()) {
            holderRows.remove(target);
        } else if (previous == null || previous.version() < updated.get().version()) {
            holderRows.put(target, updated.get());
        }
    }

    /**
     * Updates the observed lease of an entry from its row.
     *
     * @param node the entry, not null
     * @param version the row's version
     * @param releasedBy the incarnation of the entry's process that has released the lease, empty if none has, not null
     */
    public void updateLease(String node, long version, OptionalLong releasedBy) {
        ObservedLease previous = observedLeases.get(node);
        if (previous == null || previous.version() != version) {
            observedLeases.put(node, new ObservedLease(version, releasedBy, clock.nanos()));
        }
    }

    /**
     * Returns the entry that owns a target according to the store.
     *
     * @param target the target, not null
     * @return the entry's instance, or empty if the target has no owner
     */
    public Optional<String> holder(TargetId target) {
        return Optional.ofNullable(holderRows.get(target))
                .map(holder -> holder.row().node());
    }

    /**
     * Returns the fencing token for this entry's orders to a target.
     *
     * @param target the target, not null
     * @return the fencing token, or empty if this entry may not send orders to the target
     */
    public OptionalLong fence(TargetId target) {
        VersionedRow holder = holderRows.get(target);
        boolean owned = holder != null && isOwn(holder.row()) && term.covers(holder.version());
        if (!owned || !lease.isValid()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(holder.version());
    }

    private boolean isOwn(HolderRow row) {
        return row.node().equals(self) && row.incarnation() == incarnation;
    }

    /**
     * Returns whether leases should be read because an owner cannot be reached and may have ended.
     *
     * @param targets the targets, not null
     * @param reachable whether an entry can be reached, not null
     * @return true if one of the targets is owned by an entry that cannot be reached
     */
    public boolean shouldReadLeases(List<TargetId> targets, Predicate<String> reachable) {
        return targets.stream()
                .map(holderRows::get)
                .anyMatch(holder -> holder != null
                        && !holder.row().node().equals(self)
                        && !reachable.test(holder.row().node()));
    }

    /**
     * Chooses the targets that this entry claims now.
     *
     * @param targets the targets, not null
     * @param entries the known entries including this one, not null
     * @param reachable whether an entry can be reached, not null
     * @return the transaction that claims them, or empty if there are none
     */
    public Optional<Transaction> claim(List<TargetId> targets, List<String> entries, Predicate<String> reachable) {
        if (!lease.isValid()) {
            return Optional.empty();
        }
        long now = clock.nanos();
        claimableSince.keySet().retainAll(targets);
        List<String> candidates = entries.stream()
                .filter(entry -> entry.equals(self) || reachable.test(entry))
                .toList();
        List<TargetId> claimed = new ArrayList<>();
        for (TargetId target : targets) {
            if (isClaimable(target, candidates, now) && claimed.size() < MAX_CLAIMS) {
                claimed.add(target);
            }
        }
        return claimed.isEmpty() ? Optional.empty() : Optional.of(claimTransaction(claimed));
    }

    private boolean isClaimable(TargetId target, List<String> candidates, long now) {
        VersionedRow holder = holderRows.get(target);
        if (holder != null && holder.row().node().equals(self)) {
            return !isOwn(holder.row());
        }
        if (holder != null && !isLeaseExpired(holder.row(), now)) {
            claimableSince.remove(target);
            return false;
        }
        long since = claimableSince.computeIfAbsent(target, missing -> now);
        int rank = capacity.countAhead(target.value(), self, candidates);
        return now - since >= rank * CLAIM_STAGGER.toNanos();
    }

    /** A release that was written late by a former incarnation does not end the lease of the next one. */
    private boolean isLeaseExpired(HolderRow holder, long now) {
        ObservedLease observed = observedLeases.get(holder.node());
        if (observed == null) {
            return false;
        }
        boolean released =
                observed.releasedBy().isPresent() && observed.releasedBy().getAsLong() == holder.incarnation();
        Duration limit = released ? Lease.HANDOVER_GAP : Lease.DURATION.plus(Lease.HANDOVER_GAP);
        return now - observed.observedAt() > limit.toNanos();
    }

    /**
     * Returns the other entries that have ended: their leases have not changed for a time, or have been released.
     *
     * @param limit the time without a change after which an entry counts as ended, not null
     * @return the versions of their leases by instance, not null
     */
    public Map<String, Long> endedEntries(Duration limit) {
        long now = clock.nanos();
        Map<String, Long> ended = new HashMap<>();
        observedLeases.forEach((node, observed) -> {
            Duration required = observed.releasedBy().isPresent() ? RESTART_GRACE : limit;
            if (!node.equals(self) && now - observed.observedAt() > required.toNanos()) {
                ended.put(node, observed.version());
            }
        });
        return ended;
    }

    private Transaction claimTransaction(List<TargetId> targets) {
        Transaction transaction = Transaction.empty();
        List<String> formerOwners = new ArrayList<>();
        for (TargetId target : targets) {
            VersionedRow holder = holderRows.get(target);
            RowKey key = RowKey.of(FLEET_TABLE, HOLDER_KEY_PREFIX + target.value());
            transaction = transaction
                    .withCondition(key, holder == null ? Transaction.ABSENT_VERSION : holder.version())
                    .withWrite(key, new HolderRow(self, incarnation).toText());
            boolean ownedByOther = holder != null && !holder.row().node().equals(self);
            if (ownedByOther && !formerOwners.contains(holder.row().node())) {
                formerOwners.add(holder.row().node());
                transaction = transaction.withCondition(
                        RowKey.of(LEASES_TABLE, holder.row().node()),
                        observedLeases.get(holder.row().node()).version());
            }
        }
        return transaction;
    }
}
