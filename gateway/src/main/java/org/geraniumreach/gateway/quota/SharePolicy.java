package org.geraniumreach.gateway.quota;

import java.util.Optional;

/**
 * Decides how an entry changes its share in an account's row.
 *
 * <p>Intended for workloads in which callers are spread unevenly over entries and move between them, and one account at a
 * time may ask for many times its rate. An entry takes free parts, records how many more it wants, and gives up parts that it
 * does not need while another entry wants them. If the entries together need more than the rate, it is divided in proportion
 * to need. Stateless and safe for use by several threads.
 */
final class SharePolicy {

    /** Factor between a share and the measured demand, since requests arrive in bursts. */
    private static final double HEADROOM_FACTOR = 1.4;

    /** Part of an even share that an entry without demand keeps, so that a burst of requests need not wait for a transaction. */
    private static final double MIN_RATIO_OF_EVEN_SHARE = 0.5;

    /** Smaller changes are not worth a transaction. */
    private static final int MIN_CHANGE_PARTS = 30;

    private SharePolicy() {}

    /**
     * Proposes a new version of an account's row.
     *
     * @param row the current row, not null
     * @param self the instance of this entry, not null
     * @param entries the number of entries that divide the rate, including this one
     * @param demand the demand at this entry as a ratio of the account's rate
     * @return the new row, or empty if the current one can stay, not null
     */
    static Optional<ShareRow> proposeRow(ShareRow row, String self, int entries, double demand) {
        ShareRow.Share own = row.share(self);
        if (!row.shares().containsKey(self)) {
            int initialParts = Math.min(row.freeParts(), ShareRow.TOTAL_PARTS / Math.max(1, entries));
            int initiallyWanted = Math.max(
                    0,
                    Math.min(requiredParts(demand, entries), ShareRow.TOTAL_PARTS / Math.max(1, entries))
                            - initialParts);
            return Optional.of(row.with(self, new ShareRow.Share(initialParts, initiallyWanted)));
        }
        int required = requiredParts(demand, entries);
        if (row.freeParts() >= MIN_CHANGE_PARTS) {
            required = Math.max(
                    required, Math.min(ShareRow.TOTAL_PARTS / Math.max(1, entries), own.parts() + row.freeParts()));
        }
        if (required > own.parts()) {
            return increase(row, self, own, required);
        }
        return decrease(row, self, own, required);
    }

    private static int requiredParts(double demand, int entries) {
        double minimum = MIN_RATIO_OF_EVEN_SHARE * ShareRow.TOTAL_PARTS / Math.max(1, entries);
        return (int) Math.min(
                ShareRow.TOTAL_PARTS, Math.max(minimum, Math.ceil(demand * HEADROOM_FACTOR * ShareRow.TOTAL_PARTS)));
    }

    private static Optional<ShareRow> increase(ShareRow row, String self, ShareRow.Share own, int required) {
        int added = Math.min(row.freeParts(), required - own.parts());
        int parts = own.parts() + added;
        int newParts = Math.min(parts, fairLimit(row, self, own, required));
        int wanted = required - newParts;
        boolean significant =
                Math.abs(newParts - own.parts()) >= MIN_CHANGE_PARTS || isSignificantChange(wanted, own.wanted());
        return significant ? Optional.of(row.with(self, new ShareRow.Share(newParts, wanted))) : Optional.empty();
    }

    /** The wanted parts vary with each burst of requests; other entries need to know only whether and roughly how many. */
    private static boolean isSignificantChange(int wanted, int recorded) {
        if (wanted < MIN_CHANGE_PARTS || recorded == 0) {
            return wanted >= MIN_CHANGE_PARTS && recorded == 0;
        }
        return wanted > 2 * recorded || 2 * wanted < recorded;
    }

    /** Limits this entry to its share in proportion to all needs if the entries together need more than the rate. */
    private static int fairLimit(ShareRow row, String self, ShareRow.Share own, int required) {
        int others = row.shares().entrySet().stream()
                .filter(share -> !share.getKey().equals(self))
                .mapToInt(share -> share.getValue().parts() + share.getValue().wanted())
                .sum();
        if (row.wantedByOthers(self) == 0 || others + required <= ShareRow.TOTAL_PARTS) {
            return ShareRow.TOTAL_PARTS;
        }
        int fairParts = ShareRow.TOTAL_PARTS * required / (others + required);
        return fairParts < own.parts() - MIN_CHANGE_PARTS ? fairParts : ShareRow.TOTAL_PARTS;
    }

    private static Optional<ShareRow> decrease(ShareRow row, String self, ShareRow.Share own, int required) {
        int shortage = row.wantedByOthers(self) - row.freeParts();
        int released = Math.min(Math.max(0, shortage), own.parts() - required);
        if (released >= MIN_CHANGE_PARTS || own.wanted() > 0) {
            return Optional.of(row.with(self, new ShareRow.Share(own.parts() - Math.max(0, released), 0)));
        }
        return Optional.empty();
    }
}
