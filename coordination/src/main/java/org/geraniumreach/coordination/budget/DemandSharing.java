package org.geraniumreach.coordination.budget;

import org.geraniumreach.coordination.budget.SharingPolicy.Decision;
import org.geraniumreach.coordination.budget.SharingPolicy.LenderState;

/**
 * The policy by which shares follow demand.
 *
 * <p>A loan leaves the lender about a second of its own demand. A handover splits what the two hold together in proportion
 * to their demands; as each pair of entries that trade levels out, shares come to be in proportion to demand over all.
 * Stateless and safe for use by several threads.
 */
final class DemandSharing {

    /** A handover below this part of what the two hold is not worth a transaction. */
    private static final long MIN_HANDOVER_DIVISOR = 16;

    /** The least part of what the two hold that each of them keeps, so that a request after a pause finds some budget. */
    private static final long MIN_KEPT_DIVISOR = 16;

    private DemandSharing() {}

    static Decision decide(LenderState position, LoanWish wish) {
        if (position.hasWaitingRequests()) {
            return Decision.NONE;
        }
        long kept = Math.min(position.tokens() / 2, position.tokensPerSecondDemanded());
        long tokens = Math.max(0, Math.min(wish.tokens(), position.tokens() - kept));
        long neededParts = (long) Math.min(
                ShareParts.WHOLE,
                (double) position.tokensPerSecondDemanded() / position.tokensPerSecond() * ShareParts.WHOLE);
        long spareParts = Math.max(0, position.parts() - neededParts);
        long coveringParts = (long) Math.ceil((double) tokens * ShareParts.WHOLE / Math.max(1, position.burstTokens()));
        long parts = Math.max(Math.min(wish.parts(), spareParts), coveringParts);
        return new Decision(tokens, Math.min(parts, position.parts()), handover(position, wish));
    }

    private static long handover(LenderState position, LoanWish wish) {
        long together = position.parts() + wish.heldParts();
        double askerShare = (wish.demand() + 1.0) / (wish.demand() + position.tokensPerSecondDemanded() + 2.0);
        long least = together / MIN_KEPT_DIVISOR;
        long due = Math.min(Math.max((long) (together * askerShare), least), together - least);
        long missing = due - wish.heldParts();
        return missing < together / MIN_HANDOVER_DIVISOR ? 0 : Math.min(missing, position.parts());
    }
}
