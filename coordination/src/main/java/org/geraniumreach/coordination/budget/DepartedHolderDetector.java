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
 * Finds out which holders are gone for good, as this entry sees it.
 *
 * <p>Invariant: a row is named gone only if its version has stayed the same, and its holder has been off the list at each
 * reading, both for longer than the quarantine. Either alone would take shares from an entry that still spends them: one that
 * cannot reach the table service but is listed, or one that the list has dropped but that renews its lease. Not safe for use
 * by several threads.
 */
final class DepartedHolderDetector {

    private final HolderId self;
    private final long quarantineNanos;
    private final long predecessorLoansEndAt;
    private final Map<RowKey, Observation> observations = new HashMap<>();

    /** What was seen of one row. */
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
     * Makes a watch.
     *
     * @param self this entry, not null
     * @param quarantineNanos the quarantine
     * @param loanEndAt the time when every loan that a predecessor of this process has given is over
     */
    DepartedHolderDetector(HolderId self, long quarantineNanos, long loanEndAt) {
        this.self = self;
        this.quarantineNanos = quarantineNanos;
        this.predecessorLoansEndAt = loanEndAt;
    }

    /** Takes a reading of a whole table of rows. */
    void onRowsScanned(List<Row> rows, long now) {
        Map<RowKey, Observation> before = new HashMap<>(observations);
        observations.clear();
        for (Row row : rows) {
            HolderRow.read(row.value()).ifPresent(content -> {
                Observation known = before.getOrDefault(row.key(), new Observation());
                if (known.row == null || known.row.version() != row.version()) {
                    known.row = row;
                    known.content = content;
                    known.unchangedSince = now;
                }
                observations.put(row.key(), known);
            });
        }
    }

    /** Takes a reading of the list. */
    void onHoldersListed(Set<ListedHolder> listed, long askedAt, long now) {
        for (Observation sighting : observations.values()) {
            if (listed.contains(sighting.content.holder().toListedHolder())) {
                sighting.absentSince = Long.MAX_VALUE;
                sighting.absentUntil = Long.MIN_VALUE;
                continue;
            }
            sighting.absentSince = Math.min(sighting.absentSince, now);
            sighting.absentUntil = askedAt;
        }
    }

    /** Gets the rows whose shares may be taken back, as they were seen. */
    List<Row> departedRows(long now) {
        List<Row> gone = new ArrayList<>();
        for (Observation sighting : observations.values()) {
            if (isPredecessor(sighting.content.holder()) ? now > predecessorLoansEndAt : isDeparted(sighting, now)) {
                gone.add(sighting.row);
            }
        }
        return gone;
    }

    /** Queries whether a holder is an earlier process at this entry's address, which therefore has ended. */
    private boolean isPredecessor(HolderId holder) {
        return holder.toListedHolder().equals(self.toListedHolder()) && holder.incarnation() != self.incarnation();
    }

    private boolean isDeparted(Observation sighting, long now) {
        return !sighting.content.holder().equals(self)
                && now - sighting.unchangedSince > quarantineNanos
                && sighting.isAbsentFor(quarantineNanos);
    }
}
