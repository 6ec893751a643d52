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
final class AbsenceWatch {

    private final HolderId self;
    private final long quarantineNanos;
    private final long loanEndAt;
    private final Map<RowKey, Sighting> sightings = new HashMap<>();

    /** What was seen of one row. */
    private static final class Sighting {
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
    AbsenceWatch(HolderId self, long quarantineNanos, long loanEndAt) {
        this.self = self;
        this.quarantineNanos = quarantineNanos;
        this.loanEndAt = loanEndAt;
    }

    /** Takes a reading of a whole table of rows. */
    void sawRows(List<Row> rows, long now) {
        Map<RowKey, Sighting> before = new HashMap<>(sightings);
        sightings.clear();
        for (Row row : rows) {
            HolderRow.read(row.value()).ifPresent(content -> {
                Sighting known = before.getOrDefault(row.key(), new Sighting());
                if (known.row == null || known.row.version() != row.version()) {
                    known.row = row;
                    known.content = content;
                    known.unchangedSince = now;
                }
                sightings.put(row.key(), known);
            });
        }
    }

    /** Takes a reading of the list. */
    void sawList(Set<ListedHolder> listed, long askedAt, long now) {
        for (Sighting sighting : sightings.values()) {
            if (listed.contains(sighting.content.holder().listed())) {
                sighting.absentSince = Long.MAX_VALUE;
                sighting.absentUntil = Long.MIN_VALUE;
                continue;
            }
            sighting.absentSince = Math.min(sighting.absentSince, now);
            sighting.absentUntil = askedAt;
        }
    }

    /** Gets the rows whose shares may be taken back, as they were seen. */
    List<Row> gone(long now) {
        List<Row> gone = new ArrayList<>();
        for (Sighting sighting : sightings.values()) {
            if (isPredecessor(sighting.content.holder()) ? now > loanEndAt : isGone(sighting, now)) {
                gone.add(sighting.row);
            }
        }
        return gone;
    }

    /** Queries whether a holder is an earlier process at this entry's address, which therefore has ended. */
    private boolean isPredecessor(HolderId holder) {
        return holder.listed().equals(self.listed()) && holder.incarnation() != self.incarnation();
    }

    private boolean isGone(Sighting sighting, long now) {
        return !sighting.content.holder().equals(self)
                && now - sighting.unchangedSince > quarantineNanos
                && sighting.isAbsentFor(quarantineNanos);
    }
}
