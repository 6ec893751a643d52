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
    private static final double HEADROOM_FACTOR = 1.4;

    /** What an entry without demand keeps of an even share, so that a clump of requests need not wait for a transaction. */
    private static final double MIN_RATIO_OF_EVEN_SHARE = 0.5;

    /** Changes below this are not worth a transaction. */
    private static final int MIN_CHANGE_PARTS = 30;

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
    static Optional<ShareRow> proposeRow(ShareRow row, String self, int entries, double demand) {
        ShareRow.Share own = row.share(self);
        if (!row.shares().containsKey(self)) {
            int first = Math.min(row.freeParts(), ShareRow.TOTAL_PARTS / Math.max(1, entries));
            int lacking = Math.max(
                    0, Math.min(requiredParts(demand, entries), ShareRow.TOTAL_PARTS / Math.max(1, entries)) - first);
            return Optional.of(row.with(self, new ShareRow.Share(first, lacking)));
        }
        int need = requiredParts(demand, entries);
        if (row.freeParts() >= MIN_CHANGE_PARTS) {
            need = Math.max(need, Math.min(ShareRow.TOTAL_PARTS / Math.max(1, entries), own.parts() + row.freeParts()));
        }
        if (need > own.parts()) {
            return increase(row, self, own, need);
        }
        return decrease(row, self, own, need);
    }

    private static int requiredParts(double demand, int entries) {
        double least = MIN_RATIO_OF_EVEN_SHARE * ShareRow.TOTAL_PARTS / Math.max(1, entries);
        return (int) Math.min(
                ShareRow.TOTAL_PARTS, Math.max(least, Math.ceil(demand * HEADROOM_FACTOR * ShareRow.TOTAL_PARTS)));
    }

    private static Optional<ShareRow> increase(ShareRow row, String self, ShareRow.Share own, int need) {
        int taken = Math.min(row.freeParts(), need - own.parts());
        int parts = own.parts() + taken;
        int kept = Math.min(parts, fairLimit(row, self, own, need));
        int wanted = need - kept;
        boolean matters = Math.abs(kept - own.parts()) >= MIN_CHANGE_PARTS || isSignificantChange(wanted, own.wanted());
        return matters ? Optional.of(row.with(self, new ShareRow.Share(kept, wanted))) : Optional.empty();
    }

    /** What is lacking wavers with each clump of requests; others need to know only whether and about how much. */
    private static boolean isSignificantChange(int wanted, int told) {
        if (wanted < MIN_CHANGE_PARTS || told == 0) {
            return wanted >= MIN_CHANGE_PARTS && told == 0;
        }
        return wanted > 2 * told || 2 * wanted < told;
    }

    /** When all together need more than there is, what the row says of the others' needs tells what is fair. */
    private static int fairLimit(ShareRow row, String self, ShareRow.Share own, int need) {
        int others = row.shares().entrySet().stream()
                .filter(share -> !share.getKey().equals(self))
                .mapToInt(share -> share.getValue().parts() + share.getValue().wanted())
                .sum();
        if (row.wantedByOthers(self) == 0 || others + need <= ShareRow.TOTAL_PARTS) {
            return ShareRow.TOTAL_PARTS;
        }
        int fair = ShareRow.TOTAL_PARTS * need / (others + need);
        return fair < own.parts() - MIN_CHANGE_PARTS ? fair : ShareRow.TOTAL_PARTS;
    }

    private static Optional<ShareRow> decrease(ShareRow row, String self, ShareRow.Share own, int need) {
        int asked = row.wantedByOthers(self) - row.freeParts();
        int given = Math.min(Math.max(0, asked), own.parts() - need);
        if (given >= MIN_CHANGE_PARTS || own.wanted() > 0) {
            return Optional.of(row.with(self, new ShareRow.Share(own.parts() - Math.max(0, given), 0)));
        }
        return Optional.empty();
    }
}
