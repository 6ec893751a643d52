package org.geraniumreach.coordination.budget;

/**
 * Decides what an entry gives to another one that asks.
 *
 * <p>Contract: pure and safe for use by several threads. The caller cuts the decision to what the entry really has, so a
 * policy cannot break a bound.
 */
@FunctionalInterface
public interface SharingPolicy {

    /**
     * Decides.
     *
     * @param position what the entry has and needs, not null
     * @param wish what the other one asks, not null
     * @return what to give, not null
     */
    Decision decide(LenderState position, LoanWish wish);

    /**
     * What an entry has of an account's budget, and needs.
     *
     * @param tokens the tokens in its bucket
     * @param parts the parts that it holds and has not lent
     * @param tokensPerSecondDemanded the tokens a second that its callers ask for
     * @param hasWaitingRequests whether requests wait for budget here
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
     * What to give.
     *
     * @param lentTokens the tokens to lend
     * @param lentParts the parts to lend
     * @param handedOverParts the parts to hand over for good
     */
    record Decision(long lentTokens, long lentParts, long handedOverParts) {

        /** To give nothing. */
        public static final Decision NONE = new Decision(0, 0, 0);
    }

    /**
     * Obtains the policy by which shares stay where they are, for comparison.
     *
     * @return the policy, not null
     */
    static SharingPolicy staticSplit() {
        return (position, wish) -> Decision.NONE;
    }

    /**
     * Obtains the policy by which shares follow demand.
     *
     * @return the policy, not null
     */
    static SharingPolicy byDemand() {
        return DemandSharing::decide;
    }
}
