package org.geraniumreach.coordination.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.geraniumreach.coordination.budget.HolderId.ListedHolder;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;

/**
 * Detects holders that have departed and whose shares may be taken over.
 *
 * <p>Invariant: apart from earlier processes at this entry's own address, a holder counts as departed only if, for
 * longer than the quarantine, the version of its row has not changed and every read of the instance list has lacked it.
 * Either condition alone would take shares from an entry that still spends them: one that is listed but cannot reach
 * the table service, or one that is missing from the list but renews its lease. Not safe for use by several threads.
 */
final class DepartedHolderDetector {

    private final HolderId self;
    private final long quarantineNanos;
    private final long predecessorLoansEndAt;
    private final Map<RowKey, Observation> observations = new HashMap<>();

    /** The observations of one row. */
    private static final class Observation {
        private Row row;
        private HolderRow content;
        private long unchangedSince;
        private long absentSince = Long.MAX_VALUE;
        private long absentUntil = Long.MIN_VALUE;

        private boolean isAbsentFor(long nanos) {
            return absentSince != Long.MAX_VALUE && absentUntil - absentSince > nanos;
        }
    }

    /**
     * Creates a detector without observations.
     *
     * @param self this entry, not null
     * @param quarantineNanos the quarantine in nanoseconds
     * @param predecessorLoansEndAt the time when all loans given by earlier processes at this entry's address have
     *     ended
     */
    DepartedHolderDetector(HolderId self, long quarantineNanos, long predecessorLoansEndAt) {
        this.self = self;
        this.quarantineNanos = quarantineNanos;
        this.predecessorLoansEndAt = predecessorLoansEndAt;
    }

    /** Records the result of a scan of the holder table. */
    void onRowsScanned(List<Row> rows, long now) {
        Map<RowKey, Observation> previous = new HashMap<>(observations);
        observations.clear();
        for (Row row : rows) {
            HolderRow.read(row.value()).ifPresent(content -> {
                Observation known = previous.getOrDefault(row.key(), new Observation());
                if (known.row == null || known.row.version() != row.version()) {
                    known.row = row;
                    known.content = content;
                    known.unchangedSince = now;
                }
                observations.put(row.key(), known);
            });
        }
    }

    /** Records the result of a read of the instance list. */
    void onHoldersListed(Set<ListedHolder> listed, long requestedAt, long now) {
        for (Observation observation : observations.values()) {
            if (listed.contains(observation.content.holder().toListedHolder())) {
                observation.absentSince = Long.MAX_VALUE;
                observation.absentUntil = Long.MIN_VALUE;
                continue;
            }
            observation.absentSince = Math.min(observation.absentSince, now);
            observation.absentUntil = requestedAt;
        }
    }

    /** Gets the rows of departed holders, as last scanned. */
    List<Row> departedRows(long now) {
        List<Row> departed = new ArrayList<>();
        for (Observation observation : observations.values()) {
            if (isPredecessor(observation.content.holder())
                    ? now > predecessorLoansEndAt
                    : isDeparted(observation, now)) {
                departed.add(observation.row);
            }
        }
        return departed;
    }

    /** Queries whether a holder is an earlier process at this entry's address, which must have ended. */
    private boolean isPredecessor(HolderId holder) {
        return holder.toListedHolder().equals(self.toListedHolder()) && holder.incarnation() != self.incarnation();
    }

    private boolean isDeparted(Observation observation, long now) {
        return !observation.content.holder().equals(self)
                && now - observation.unchangedSince > quarantineNanos
                && observation.isAbsentFor(quarantineNanos);
    }
}
