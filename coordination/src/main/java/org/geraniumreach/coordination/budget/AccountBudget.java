package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.table.RowKey;

/**
 * One client account's budget at one entry.
 *
 * <p>Invariants: the bucket's capacity and inflow are those of the parts held now, that is, the entry's own parts while the
 * proof holds, less those lent, and those borrowed; a part that arrives brings no tokens but those lent with it; each ticket
 * gets one answer; requests are served in order of arrival. Safe for use by several threads: the state is under this object's
 * lock, and the clock is read within it, so that a freeze before a spend is seen by the spend.
 */
public final class AccountBudget {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MIN_WAKE_DELAY_NANOS = 1_000_000;
    private static final long HANDOVER_INTERVAL_NANOS = 1_000_000_000;
    private static final Duration MAX_RETRY_DELAY = Duration.ofHours(1);
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(1);

    private final AccountId account;
    private final BudgetPolicy policy;
    private final HoldingProof leaseValidity;
    private final MonotonicClock clock;
    private final TokenBucket bucket;
    private final WaitQueue waitQueue = new WaitQueue();
    private final LoanRequester loanRequester;
    private final ActiveLoans loansGiven = new ActiveLoans();
    private final ActiveLoans loansTaken = new ActiveLoans();
    private final DemandMeter demand;
    private long tokensPerSecond;
    private long burstTokens;
    private long ownParts;
    private long firstClaimDeadline;
    private long nextHandoverAt = Long.MIN_VALUE;
    private boolean released;
    private List<InstanceId> peers = List.of();
    private Optional<RowKey> holderRow = Optional.empty();

    /**
     * Makes a budget without rate and share.
     *
     * @param account the client account, not null
     * @param policy times and choices, not null
     * @param proof whether the entry's own parts may be spent, not null
     * @param clock the source of elapsed time, not null
     * @param random the source of random choices, not null
     */
    public AccountBudget(
            AccountId account, BudgetPolicy policy, HoldingProof proof, MonotonicClock clock, RandomGenerator random) {
        this.account = Objects.requireNonNull(account, "account");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.leaseValidity = Objects.requireNonNull(proof, "proof");
        this.clock = Objects.requireNonNull(clock, "clock");
        long now = clock.nanos();
        this.bucket = new TokenBucket(policy.clockDriftPartsPerMillion(), now);
        this.demand = new DemandMeter(now);
        this.firstClaimDeadline = now + policy.longestWait().toNanos();
        this.loanRequester = new LoanRequester(random, policy.loanAnswerLimit().toNanos());
    }

    /**
     * Sets the account's rate and burst over all entries together.
     *
     * @param newTokensPerSecond the rate, 0 to stop the account
     * @param newBurstTokens the burst
     * @return what came of it, not null
     */
    public synchronized BudgetStep setRate(long newTokensPerSecond, long newBurstTokens) {
        long now = advance();
        tokensPerSecond = Math.min(newTokensPerSecond, ShareParts.GREATEST_TOKENS);
        burstTokens = Math.min(newBurstTokens, ShareParts.GREATEST_TOKENS);
        resize(now);
        return processQueue(now);
    }

    /**
     * Tells which entries may be asked for loans, and where this entry's shares are kept.
     *
     * @param newPeers the other entries, not null
     * @param newHolder this entry's row, empty if there is none, not null
     */
    public synchronized void setPeersAndHolderRow(List<InstanceId> newPeers, Optional<RowKey> newHolder) {
        peers = List.copyOf(newPeers);
        holderRow = newHolder;
    }

    /**
     * Sets the entry's own parts; those that are new bring no tokens.
     *
     * @param parts the parts
     * @param full whether the bucket is filled, which is right only for the first holder that the account ever has
     * @return what came of it, not null
     */
    public synchronized BudgetStep setOwnParts(long parts, boolean full) {
        long now = advance();
        long before = ownParts;
        ownParts = released ? 0 : ShareParts.require(parts);
        firstClaimDeadline = ownParts > 0 ? now : firstClaimDeadline;
        resize(now);
        if (full && ownParts > before) {
            bucket.deposit((ownParts - before) * burstTokens);
        }
        return processQueue(now);
    }

    /**
     * Takes own parts away that are to be handed over.
     *
     * @param parts the parts wanted
     * @return the parts taken, fewer if more are lent
     */
    public synchronized long withdraw(long parts) {
        long now = advance();
        long taken = Math.min(parts, idleParts());
        ownParts -= taken;
        resize(now);
        return taken;
    }

    /**
     * Takes all own parts away for good.
     *
     * @return the time by the clock when the last loan given has ended
     */
    public synchronized long release() {
        long now = advance();
        released = true;
        ownParts = 0;
        resize(now);
        return loansGiven.nextExpiry() == Long.MAX_VALUE ? now : now + policy.lenderNanos(policy.loanDuration());
    }

    public synchronized long ownParts() {
        return ownParts;
    }

    /**
     * Gets the tokens in the bucket now.
     *
     * @return the tokens
     */
    public synchronized long availableTokens() {
        advance();
        return bucket.level() / ShareParts.WHOLE;
    }

    /**
     * Asks for tokens for a request.
     *
     * @param ticket the number by which the answer tells which request it is for
     * @param tokens the tokens
     * @param deadlineLeft the time that the request has left, not null
     * @return what came of it, not null
     */
    public synchronized BudgetStep reserve(long ticket, long tokens, Duration deadlineLeft) {
        long now = advance();
        if (tokens > burstTokens) {
            boolean known = burstTokens > 0;
            ResultCode code = known ? ResultCode.REQUEST_ABOVE_BURST : ResultCode.OUT_OF_BUDGET;
            return new BudgetStep(
                    List.of(new BudgetAction.Refused(ticket, code, MIN_RETRY_DELAY)), OptionalLong.empty());
        }
        demand.add(tokens, now);
        long wait = Math.min(deadlineLeft.toNanos(), policy.longestWait().toNanos());
        waitQueue.add(new WaitQueue.Waiter(ticket, tokens, now + Math.max(0, wait)));
        return processQueue(now);
    }

    /**
     * Ends a request, and gives back what it did not use.
     *
     * @param grant the tokens set aside, not null
     * @param actualTokens the tokens used
     * @return what came of it, not null
     */
    public synchronized BudgetStep settle(Grant grant, long actualTokens) {
        long now = advance();
        bucket.settle(grant, Math.max(0, actualTokens));
        return processQueue(now);
    }

    /**
     * Does what is due.
     *
     * @return what came of it, not null
     */
    public synchronized BudgetStep wake() {
        return processQueue(advance());
    }

    /**
     * Answers another entry that asks for a loan.
     *
     * @param peer the other entry, not null
     * @param wish what it asks, not null
     * @return what came of it, not null
     */
    public synchronized BudgetStep onLoanRequested(InstanceId peer, LoanWish wish) {
        long now = advance();
        List<BudgetAction> actions = new ArrayList<>();
        SharingPolicy.Decision decision = decideLoan(wish, now);
        long wanted = Math.min(decision.lentParts(), unlentParts());
        long tokens = Math.max(0, Math.min(decision.lentTokens(), bucket.level() / ShareParts.WHOLE));
        // More tokens than the parts lent can hold would let the borrower's bucket stand above its capacity.
        tokens = Math.min(tokens, wanted * burstTokens / ShareParts.WHOLE);
        bucket.withdraw(tokens * ShareParts.WHOLE);
        long parts = Math.min(wanted, Math.max(partsFor(tokens * ShareParts.WHOLE), idleParts()));
        Duration duration =
                wish.duration().compareTo(policy.loanDuration()) < 0 ? wish.duration() : policy.loanDuration();
        loansGiven.add(parts, now + policy.lenderNanos(duration));
        resize(now);
        actions.add(new BudgetAction.GiveLoan(peer, new Loan(wish.number(), account, tokens, parts, duration)));
        planHandover(decision.handedOverParts(), wish, now).ifPresent(actions::add);
        return new BudgetStep(actions, OptionalLong.empty());
    }

    private SharingPolicy.Decision decideLoan(LoanWish wish, long now) {
        if (!leaseValidity.isValid(now) || tokensPerSecond <= 0 || released) {
            return SharingPolicy.Decision.NONE;
        }
        SharingPolicy.LenderState position = new SharingPolicy.LenderState(
                Math.max(0, bucket.level() / ShareParts.WHOLE),
                unlentParts(),
                demand.tokensPerSecond(now),
                !waitQueue.isEmpty(),
                tokensPerSecond,
                burstTokens);
        return policy.sharing().decide(position, wish);
    }

    private Optional<BudgetAction> planHandover(long parts, LoanWish wish, long now) {
        if (parts <= 0 || wish.holder().isEmpty() || now < nextHandoverAt) {
            return Optional.empty();
        }
        nextHandoverAt = now + HANDOVER_INTERVAL_NANOS;
        return Optional.of(new BudgetAction.HandOver(account, wish.holder().get(), parts));
    }

    /**
     * Takes another entry's answer to a request for a loan.
     *
     * @param peer the other entry, not null
     * @param loan what it lends, not null
     * @return what came of it, not null
     */
    public synchronized BudgetStep onLoanAnswered(InstanceId peer, Loan loan) {
        long now = advance();
        if (loanRequester.acceptAnswer(peer, loan)) {
            // The lender counts from after it was asked, so counting from before cannot outlast it.
            long until = loanRequester.requestedAt() + loan.duration().toNanos();
            if (now < until) {
                loansTaken.add(loan.parts(), until);
                resize(now);
                bucket.deposit(loan.tokens() * ShareParts.WHOLE);
            }
        }
        return processQueue(now);
    }

    /** Gets the parts that are not needed to hold the tokens in the bucket; with more taken, the tokens would be lost. */
    private long idleParts() {
        return Math.max(0, unlentParts() - partsFor(Math.max(0, bucket.level())));
    }

    private long partsFor(long amount) {
        return burstTokens <= 0 ? 0 : Math.min(ShareParts.WHOLE, (amount + burstTokens - 1) / burstTokens);
    }

    private long unlentParts() {
        return Math.max(0, ownParts - loansGiven.totalParts());
    }

    /** Brings bucket and loans up to the present, loan by loan, and returns the present. */
    private long advance() {
        long now = clock.nanos();
        long end = Math.min(loansGiven.nextExpiry(), loansTaken.nextExpiry());
        while (end <= now) {
            bucket.advance(end);
            loansGiven.expire(end);
            loansTaken.expire(end);
            resize(now);
            end = Math.min(loansGiven.nextExpiry(), loansTaken.nextExpiry());
        }
        bucket.advance(now);
        resize(now);
        loanRequester.expireOverdue(now);
        return now;
    }

    private void resize(long now) {
        long parts = Math.min(ShareParts.WHOLE, spendableOwnParts(now) + loansTaken.totalParts());
        bucket.resize(parts * burstTokens, parts * tokensPerSecond);
    }

    /** Gets the own parts that may be spent, and that no loan's end takes away. */
    private long spendableOwnParts(long now) {
        return leaseValidity.isValid(now) ? unlentParts() : 0;
    }

    private BudgetStep processQueue(long now) {
        List<BudgetAction> actions = new ArrayList<>();
        grantInArrivalOrder(actions);
        if (waitQueue.isEmpty()) {
            loanRequester.endRound();
            return new BudgetStep(actions, OptionalLong.empty());
        }
        if (!loanRequester.isPending()) {
            loanRequester
                    .nextLender(peers, now)
                    .ifPresent(peer -> actions.add(new BudgetAction.AskLoan(peer, loanRequest(now))));
        }
        refuseUnservable(actions, now);
        return new BudgetStep(actions, wakeAt(now));
    }

    private void grantInArrivalOrder(List<BudgetAction> actions) {
        while (!waitQueue.isEmpty()) {
            WaitQueue.Waiter head = waitQueue.head().orElseThrow();
            Optional<Grant> grant = bucket.reserve(head.tokens());
            if (grant.isEmpty()) {
                return;
            }
            waitQueue.removeHead();
            actions.add(new BudgetAction.Granted(head.ticket(), grant.get()));
        }
    }

    private LoanWish loanRequest(long now) {
        long perSecond = demand.tokensPerSecond(now);
        long missing = waitQueue.totalTokens() - Math.max(0, bucket.level() / ShareParts.WHOLE);
        long tokens = Math.min(burstTokens, Math.max(missing, perSecond / 2));
        double room = (double) waitQueue.head().orElseThrow().tokens() * ShareParts.WHOLE - bucket.capacity();
        double parts = Math.max(
                Math.max(0, room) / Math.max(1, burstTokens),
                (double) perSecond / Math.max(1, tokensPerSecond) * ShareParts.WHOLE - unlentParts());
        return new LoanWish(
                loanRequester.requestNumber(),
                account,
                tokens,
                (long) Math.min(ShareParts.WHOLE, Math.max(0, Math.ceil(parts))),
                policy.loanDuration(),
                perSecond,
                ownParts,
                holderRow);
    }

    private void refuseUnservable(List<BudgetAction> actions, long now) {
        long certain = spendableOwnParts(now);
        // An entry that has just begun, or a client account that has, holds no share for the moment that the claim
        // takes. Its first requests would be refused though the account is within its rate, so they wait for the
        // claim.
        boolean mayCome = loanRequester.isPending() || now < firstClaimDeadline;
        for (WaitQueue.Unservable hopeless : waitQueue.removeUnservable((waiter, needed) -> now < waiter.deadline()
                && (mayCome || ownInflowDelayNanos(waiter.tokens(), needed, certain) <= waiter.deadline() - now))) {
            Duration retry = retryAfter(hopeless.waiter().tokens(), hopeless.cumulativeTokens(), certain);
            actions.add(new BudgetAction.Refused(hopeless.waiter().ticket(), ResultCode.OUT_OF_BUDGET, retry));
        }
    }

    /** Gets the nanoseconds until the entry's own parts alone have brought what is needed, or infinity. */
    private double ownInflowDelayNanos(long tokens, long needed, long certain) {
        if (certain <= 0 || tokensPerSecond <= 0 || tokens * ShareParts.WHOLE > certain * burstTokens) {
            return Double.POSITIVE_INFINITY;
        }
        long missing = needed * ShareParts.WHOLE - Math.min(bucket.level(), certain * burstTokens);
        return bucket.secondsFor(Math.max(0, missing), certain * tokensPerSecond) * NANOS_PER_SECOND;
    }

    private Duration retryAfter(long tokens, long needed, long certain) {
        double delay = ownInflowDelayNanos(tokens, needed, certain);
        if (Double.isInfinite(delay) && tokensPerSecond > 0) {
            long missing = needed * ShareParts.WHOLE - Math.max(0, bucket.level());
            delay = bucket.secondsFor(missing, ShareParts.WHOLE * tokensPerSecond) * NANOS_PER_SECOND;
        }
        Duration exact = Duration.ofNanos((long) Math.min(delay, MAX_RETRY_DELAY.toNanos()));
        // Without a share of its own the entry can only do better once it has looked for one again.
        Duration least = certain > 0 ? MIN_RETRY_DELAY : policy.scanInterval();
        return exact.compareTo(least) < 0 ? least : exact;
    }

    private OptionalLong wakeAt(long now) {
        if (waitQueue.isEmpty()) {
            return OptionalLong.empty();
        }
        long at = waitQueue.earliestDeadline();
        if (loanRequester.isPending()) {
            at = Math.min(at, loanRequester.answerDeadline());
        }
        at = Math.min(at, Math.min(loansGiven.nextExpiry(), loansTaken.nextExpiry()));
        WaitQueue.Waiter head = waitQueue.head().orElseThrow();
        at = now < firstClaimDeadline ? Math.min(at, firstClaimDeadline) : at;
        double delay = ownInflowDelayNanos(head.tokens(), head.tokens(), spendableOwnParts(now));
        at = (long) Math.min(at, now + delay);
        return OptionalLong.of(Math.max(at, now + MIN_WAKE_DELAY_NANOS));
    }
}
