package org.geraniumreach.coordination.budget;

import org.geraniumreach.coordination.budget.SharingPolicy.Decision;
import org.geraniumreach.coordination.budget.SharingPolicy.LenderState;

/**
 * The sharing policy that moves shares according to demand.
 *
 * <p>A loan leaves the lender tokens for up to one second of its own demand. A handover divides the parts that both
 * entries hold in proportion to their demand; repeated between pairs of entries, this brings all shares into proportion
 * to demand. Stateless and safe for use by several threads.
 */
final class DemandSharing {

    /** A handover of less than 1/16 of the parts that both entries hold is not worth a transaction. */
    private static final long MIN_HANDOVER_DIVISOR = 16;

    /**
     * Each entry keeps at least 1/16 of the parts that both hold, so that a request after an idle period finds budget.
     */
    private static final long MIN_KEPT_DIVISOR = 16;

    private DemandSharing() {}

    /** Gets the parts that each of two entries keeps of those that both hold. */
    static long minimumParts(long totalParts) {
        return totalParts / MIN_KEPT_DIVISOR;
    }

    static Decision decide(LenderState lender, BorrowRequest request) {
        if (lender.hasWaitingRequests()) {
            return Decision.NONE;
        }
        long keptTokens = Math.min(lender.tokens() / 2, lender.tokensPerSecondDemanded());
        long tokens = Math.max(0, Math.min(request.tokens(), lender.tokens() - keptTokens));
        long neededParts = (long) Math.min(
                ShareParts.WHOLE,
                (double) lender.tokensPerSecondDemanded() / lender.tokensPerSecond() * ShareParts.WHOLE);
        long spareParts = Math.max(0, lender.parts() - neededParts);
        long coveringParts = (long) Math.ceil((double) tokens * ShareParts.WHOLE / Math.max(1, lender.burstTokens()));
        long parts = Math.max(Math.min(request.parts(), spareParts), coveringParts);
        return new Decision(tokens, Math.min(parts, lender.parts()), handover(lender, request));
    }

    private static long handover(LenderState lender, BorrowRequest request) {
        long totalParts = lender.parts() + request.heldParts();
        double borrowerFraction = (request.tokensPerSecondDemanded() + 1.0)
                / (request.tokensPerSecondDemanded() + lender.tokensPerSecondDemanded() + 2.0);
        long minimumParts = minimumParts(totalParts);
        long borrowerTarget =
                Math.min(Math.max((long) (totalParts * borrowerFraction), minimumParts), totalParts - minimumParts);
        long handoverParts = borrowerTarget - request.heldParts();
        return handoverParts < totalParts / MIN_HANDOVER_DIVISOR ? 0 : Math.min(handoverParts, lender.parts());
    }
}
