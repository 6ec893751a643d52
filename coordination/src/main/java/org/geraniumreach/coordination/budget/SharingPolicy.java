package org.geraniumreach.coordination.budget;

/**
 * Decides what an entry gives to another one that requests a loan.
 *
 * <p>Implementations must be pure functions and safe for use by several threads. The caller limits the decision to what
 * the entry actually has, so a policy cannot cause the rate or burst to be exceeded.
 */
@FunctionalInterface
public interface SharingPolicy {

    /**
     * Decides what to lend and to hand over.
     *
     * @param lender the state of the lending entry, not null
     * @param request the request of the other entry, not null
     * @return the decision, not null
     */
    Decision decide(LenderState lender, BorrowRequest request);

    /**
     * The budget of an account at the lending entry and the demand there.
     *
     * @param tokens the tokens in its bucket
     * @param parts the parts that it holds and has not lent
     * @param tokensPerSecondDemanded the demand of its callers in tokens per second
     * @param hasWaitingRequests whether requests wait for budget at this entry
     * @param tokensPerSecond the account's rate
     * @param burstTokens the account's burst
     */
    record LenderState(
            long tokens,
            long parts,
            long tokensPerSecondDemanded,
            boolean hasWaitingRequests,
            long tokensPerSecond,
            long burstTokens) {}

    /**
     * The amounts to lend and to hand over.
     *
     * @param lentTokens the tokens to lend
     * @param lentParts the parts to lend
     * @param handedOverParts the parts to hand over permanently
     */
    record Decision(long lentTokens, long lentParts, long handedOverParts) {

        /** Lends and hands over nothing. */
        public static final Decision NONE = new Decision(0, 0, 0);
    }

    /**
     * Obtains the policy that never moves shares, for comparison.
     *
     * @return the policy, not null
     */
    static SharingPolicy staticSplit() {
        return (lender, request) -> Decision.NONE;
    }

    /**
     * Obtains the policy that moves shares according to demand.
     *
     * @return the policy, not null
     */
    static SharingPolicy byDemand() {
        return DemandSharing::decide;
    }
}
