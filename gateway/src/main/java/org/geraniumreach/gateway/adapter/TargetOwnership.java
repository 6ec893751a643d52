package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
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
 * Which entry may order which target.
 *
 * <p>Invariants: an entry orders a target only under a fence that this life of its process was given by the store, and only
 * while its lease holds. A target of another entry is taken over only once that entry's lease has been seen unchanged for the
 * lease and a {@link Lease#HANDOVER_GAP}, by a transaction that requires it to be unchanged still; by then the other has stopped by
 * itself. Confined to the event loop.
 */
public final class TargetOwnership {

    /** The table of this entry's and the others' rows. */
    public static final String TABLE = "fleet";

    /** The table of leases; apart, so that renewals wake nobody who waits for news. */
    public static final String LEASES = "leases";

    private static final String HOLDER_KEY_PREFIX = "holder/";

    /** The lead of the first in order, which spares the others a transaction that fails. */
    private static final Duration CLAIM_STAGGER = Duration.ofMillis(700);

    /** An entry that is only restarted renews its lease within 2 s of its end, and finds what it had. */
    static final Duration RESTART_GRACE = Duration.ofSeconds(4);

    /** Rows of one transaction; the store takes a hundred. */
    private static final int MAX_CLAIMS = 40;

    private final String self;
    private final long incarnation;
    private final Lease lease;
    private final MonotonicClock clock;
    private final Map<TargetId, VersionedRow> holderRows = new HashMap<>();
    private final Map<String, ObservedLease> observedLeases = new HashMap<>();
    private final Map<TargetId, Long> claimableSince = new HashMap<>();
    private EntryCapacity capacity = EntryCapacity.alike();

    private record VersionedRow(HolderRow row, long version) {}

    private record ObservedLease(long version, OptionalLong releasedBy, long observedAt) {}

    /**
     * Makes holdings without rows.
     *
     * @param self this entry's instance, not null
     * @param incarnation this life of its process
     * @param lease its lease, not null
     * @param clock the clock, not null
     */
    public TargetOwnership(String self, long incarnation, Lease lease, MonotonicClock clock) {
        this.self = Objects.requireNonNull(self, "self");
        this.incarnation = incarnation;
        this.lease = Objects.requireNonNull(lease, "lease");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Sets the capacities by which owners are selected.
     *
     * @param newCapacity the capacities, not null
     */
    public void weigh(EntryCapacity newCapacity) {
        capacity = Objects.requireNonNull(newCapacity, "newCapacity");
    }

    /**
     * Gets this entry's instance.
     *
     * @return its name, not null
     */
    public String self() {
        return self;
    }

    /**
     * Queries whether a row of {@link #TABLE} is a holder's.
     *
     * @param key the row's key, not null
     * @return true if it is
     */
    public static boolean isHolderRow(String key) {
        return key.startsWith(HOLDER_KEY_PREFIX);
    }

    /**
     * Takes a holder's row.
     *
     * @param key its key, not null
     * @param row the row, or empty if it was removed
     */
    public void put(String key, Optional<Row> row) {
        TargetId target = TargetId.of(key.substring(HOLDER_KEY_PREFIX.length()));
        Optional<VersionedRow> held = row.flatMap(
                present -> HolderRow.parse(present.value()).map(parsed -> new VersionedRow(parsed, present.version())));
        VersionedRow known = holderRows.get(target);
        if (held.isEmpty()) {
            holderRows.remove(target);
        } else if (known == null || known.version() < held.get().version()) {
            holderRows.put(target, held.get());
        }
    }

    /**
     * Takes a lease's row.
     *
     * @param node the entry that it is of, not null
     * @param version the row's version
     * @param releasedBy the life of the entry's process that has said that it acts no more, empty if none has, not null
     */
    public void seenLease(String node, long version, OptionalLong releasedBy) {
        ObservedLease known = observedLeases.get(node);
        if (known == null || known.version() != version) {
            observedLeases.put(node, new ObservedLease(version, releasedBy, clock.nanos()));
        }
    }

    /**
     * Finds the entry that holds a target.
     *
     * @param target the target, not null
     * @return the entry's instance, or empty if nobody holds it
     */
    public Optional<String> holder(TargetId target) {
        return Optional.ofNullable(holderRows.get(target))
                .map(held -> held.row().node());
    }

    /**
     * Gets the fence under which this entry may order a target now.
     *
     * @param target the target, not null
     * @return the fence, or empty if it may not
     */
    public OptionalLong fence(TargetId target) {
        VersionedRow held = holderRows.get(target);
        if (held == null || !isOwn(held.row()) || !lease.isValid()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(held.version());
    }

    private boolean isOwn(HolderRow row) {
        return row.node().equals(self) && row.incarnation() == incarnation;
    }

    /**
     * Queries whether a holder that is out of sight may have gone, so that leases are worth reading.
     *
     * @param targets the targets, not null
     * @param visible tells whether an entry can be spoken to, not null
     * @return true if one of the targets is held by an entry that is out of sight
     */
    public boolean wantsLeases(List<TargetId> targets, Predicate<String> visible) {
        return targets.stream()
                .map(holderRows::get)
                .anyMatch(held -> held != null
                        && !held.row().node().equals(self)
                        && !visible.test(held.row().node()));
    }

    /**
     * Chooses the targets to be taken over now.
     *
     * @param targets the targets, not null
     * @param entries the entries that are known, this one too, not null
     * @param visible tells whether an entry can be spoken to, not null
     * @return the transaction that takes them over, or empty if there are none
     */
    public Optional<Transaction> claim(List<TargetId> targets, List<String> entries, Predicate<String> visible) {
        if (!lease.isValid()) {
            return Optional.empty();
        }
        long now = clock.nanos();
        claimableSince.keySet().retainAll(targets);
        List<TargetId> due = new ArrayList<>();
        for (TargetId target : targets) {
            if (isClaimable(target, entries, visible, now) && due.size() < MAX_CLAIMS) {
                due.add(target);
            }
        }
        return due.isEmpty() ? Optional.empty() : Optional.of(claimTransaction(due));
    }

    private boolean isClaimable(TargetId target, List<String> entries, Predicate<String> visible, long now) {
        VersionedRow held = holderRows.get(target);
        if (held != null && held.row().node().equals(self)) {
            return !isOwn(held.row());
        }
        if (held != null && !isLeaseExpired(held.row(), now)) {
            claimableSince.remove(target);
            return false;
        }
        long since = claimableSince.computeIfAbsent(target, missing -> now);
        List<String> candidates = entries.stream()
                .filter(entry -> entry.equals(self) || visible.test(entry))
                .toList();
        int rank = entriesByRank(target, candidates).indexOf(self);
        return now - since >= rank * CLAIM_STAGGER.toNanos();
    }

    /** A row of a former life that said so late does not end the lease of the next. */
    private boolean isLeaseExpired(HolderRow holder, long now) {
        ObservedLease seen = observedLeases.get(holder.node());
        if (seen == null) {
            return false;
        }
        boolean released = seen.releasedBy().isPresent() && seen.releasedBy().getAsLong() == holder.incarnation();
        Duration limit = released ? Lease.HANDOVER_GAP : Lease.DURATION.plus(Lease.HANDOVER_GAP);
        return now - seen.observedAt() > limit.toNanos();
    }

    /**
     * Gets the other entries that have ended: their leases have not changed for a time, or were given up at their end.
     *
     * @param limit the time, not null
     * @return the versions of their leases by their instances, not null
     */
    public Map<String, Long> endedFor(Duration limit) {
        long now = clock.nanos();
        Map<String, Long> ended = new HashMap<>();
        observedLeases.forEach((node, seen) -> {
            Duration needed = seen.releasedBy().isPresent() ? RESTART_GRACE : limit;
            if (!node.equals(self) && now - seen.observedAt() > needed.toNanos()) {
                ended.put(node, seen.version());
            }
        });
        return ended;
    }

    private List<String> entriesByRank(TargetId target, List<String> entries) {
        return entries.stream()
                .sorted(Comparator.comparingDouble((String entry) -> capacity.rank(target.value(), entry))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private Transaction claimTransaction(List<TargetId> due) {
        Transaction transaction = Transaction.empty();
        List<String> former = new ArrayList<>();
        for (TargetId target : due) {
            VersionedRow held = holderRows.get(target);
            RowKey key = RowKey.of(TABLE, HOLDER_KEY_PREFIX + target.value());
            transaction = transaction
                    .withCondition(key, held == null ? Transaction.ABSENT : held.version())
                    .withWrite(key, new HolderRow(self, incarnation).toText());
            boolean others = held != null && !held.row().node().equals(self);
            if (others && !former.contains(held.row().node())) {
                former.add(held.row().node());
                transaction = transaction.withCondition(
                        RowKey.of(LEASES, held.row().node()),
                        observedLeases.get(held.row().node()).version());
            }
        }
        return transaction;
    }
}
