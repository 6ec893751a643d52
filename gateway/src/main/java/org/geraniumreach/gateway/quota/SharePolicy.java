package org.geraniumreach.gateway.quota;

import java.util.Optional;

/**
 * Decides what an entry changes in an account's row.
 *
 * <p>Intended for workloads in which callers reach entries unevenly and move between them, and one account at a time may ask for many
 * times its rate. An entry takes what is free, asks for what it lacks, and gives up what it does not need when another lacks it;
 * when all together need more than the rate, each keeps its part in proportion to its need. Stateless and safe for use by several
 * threads.
 */
final class SharePolicy {

    /** Kept above the demand measured, since requests come in clumps. */
    private static final double HEADROOM = 1.4;

    /** What an entry without demand keeps of an even share, so that a clump of requests need not wait for a transaction. */
    private static final double LEAST_OF_EVEN = 0.5;

    /** Changes below this are not worth a transaction. */
    private static final int LEAST_CHANGE = 30;

    private SharePolicy() {}

    /**
     * Decides on a row's change.
     *
     * @param row the row, not null
     * @param self this entry, not null
     * @param entries how many entries there are, this one too
     * @param demand the part of the rate that is asked for here, 1 for all of it
     * @return the row as it is to be, or empty if it may stay
     */
    static Optional<ShareRow> change(ShareRow row, String self, int entries, double demand) {
        ShareRow.Share own = row.of(self);
        if (!row.shares().containsKey(self)) {
            int first = Math.min(row.free(), ShareRow.WHOLE / Math.max(1, entries));
            int lacking = Math.max(0, Math.min(need(demand, entries), ShareRow.WHOLE / Math.max(1, entries)) - first);
            return Optional.of(row.with(self, new ShareRow.Share(first, lacking)));
        }
        int need = need(demand, entries);
        if (row.free() >= LEAST_CHANGE) {
            need = Math.max(need, Math.min(ShareRow.WHOLE / Math.max(1, entries), own.parts() + row.free()));
        }
        if (need > own.parts()) {
            return more(row, self, own, need);
        }
        return less(row, self, own, need);
    }

    private static int need(double demand, int entries) {
        double least = LEAST_OF_EVEN * ShareRow.WHOLE / Math.max(1, entries);
        return (int) Math.min(ShareRow.WHOLE, Math.max(least, Math.ceil(demand * HEADROOM * ShareRow.WHOLE)));
    }

    private static Optional<ShareRow> more(ShareRow row, String self, ShareRow.Share own, int need) {
        int taken = Math.min(row.free(), need - own.parts());
        int parts = own.parts() + taken;
        int kept = Math.min(parts, fairPart(row, self, own, need));
        int wanted = need - kept;
        boolean matters = Math.abs(kept - own.parts()) >= LEAST_CHANGE || isNews(wanted, own.wanted());
        return matters ? Optional.of(row.with(self, new ShareRow.Share(kept, wanted))) : Optional.empty();
    }

    /** What is lacking wavers with each clump of requests; others need to know only whether and about how much. */
    private static boolean isNews(int wanted, int told) {
        if (wanted < LEAST_CHANGE || told == 0) {
            return wanted >= LEAST_CHANGE && told == 0;
        }
        return wanted > 2 * told || 2 * wanted < told;
    }

    /** When all together need more than there is, what the row says of the others' needs tells what is fair. */
    private static int fairPart(ShareRow row, String self, ShareRow.Share own, int need) {
        int others = row.shares().entrySet().stream()
                .filter(share -> !share.getKey().equals(self))
                .mapToInt(share -> share.getValue().parts() + share.getValue().wanted())
                .sum();
        if (row.wantedByOthers(self) == 0 || others + need <= ShareRow.WHOLE) {
            return ShareRow.WHOLE;
        }
        int fair = ShareRow.WHOLE * need / (others + need);
        return fair < own.parts() - LEAST_CHANGE ? fair : ShareRow.WHOLE;
    }

    private static Optional<ShareRow> less(ShareRow row, String self, ShareRow.Share own, int need) {
        int asked = row.wantedByOthers(self) - row.free();
        int given = Math.min(Math.max(0, asked), own.parts() - need);
        if (given >= LEAST_CHANGE || own.wanted() > 0) {
            return Optional.of(row.with(self, new ShareRow.Share(own.parts() - Math.max(0, given), 0)));
        }
        return Optional.empty();
    }
}
