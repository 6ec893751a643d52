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
 * The budget of one client account at one entry.
 *
 * <p>Invariants: the bucket's capacity and inflow correspond to the parts currently held, which are the entry's own
 * parts less those lent, while the lease is valid, plus the borrowed parts; added parts bring no tokens except those
 * lent with them or, for the first holder ever, a full bucket; each ticket gets one answer; requests are served in
 * order of arrival. Safe for use by several threads: the state is guarded by this object's lock, and the clock is read
 * while holding it, so that a process freeze before a spend is noticed.
 */
public final class AccountBudget {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MIN_WAKE_DELAY_NANOS = 1_000_000;
    private static final long HANDOVER_INTERVAL_NANOS = 1_000_000_000;
    private static final Duration MAX_RETRY_DELAY = Duration.ofHours(1);
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(1);

    private final AccountId account;
    private final BudgetPolicy policy;
    private final LeaseValidity leaseValidity;
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
     * Creates a budget without a rate or a share.
     *
     * @param account the client account, not null
     * @param policy the time limits and the sharing policy, not null
     * @param leaseValidity whether the entry's own parts may be spent, not null
     * @param clock the source of elapsed time, not null
     * @param random the source of random choices, not null
     */
    public AccountBudget(
            AccountId account,
            BudgetPolicy policy,
            LeaseValidity leaseValidity,
            MonotonicClock clock,
            RandomGenerator random) {
        this.account = Objects.requireNonNull(account, "account");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.leaseValidity = Objects.requireNonNull(leaseValidity, "leaseValidity");
        this.clock = Objects.requireNonNull(clock, "clock");
        long now = clock.nanos();
        this.bucket = new TokenBucket(policy.clockDriftPartsPerMillion(), now);
        this.demand = new DemandMeter(now);
        this.firstClaimDeadline = now + policy.longestWait().toNanos();
        this.loanRequester = new LoanRequester(
                random,
                policy.loanAnswerLimit().toNanos(),
                policy.loanDuration().toNanos());
    }

    /**
     * Sets the account's rate and burst over all entries together.
     *
     * @param newTokensPerSecond the rate, 0 to stop the account
     * @param newBurstTokens the burst
     * @return the resulting step, not null
     */
    public synchronized BudgetStep setRate(long newTokensPerSecond, long newBurstTokens) {
        long now = advance();
        tokensPerSecond = Math.min(newTokensPerSecond, ShareParts.MAX_TOKENS);
        burstTokens = Math.min(newBurstTokens, ShareParts.MAX_TOKENS);
        resize(now);
        return processQueue(now);
    }

    /**
     * Sets the entries that may be asked for loans and the key of this entry's row.
     *
     * @param newPeers the other entries, not null
     * @param newHolderRow the key of this entry's row, empty if it does not exist, not null
     */
    public synchronized void setPeersAndHolderRow(List<InstanceId> newPeers, Optional<RowKey> newHolderRow) {
        peers = List.copyOf(newPeers);
        holderRow = newHolderRow;
        loanRequester.retainLenders(peers);
    }

    /**
     * Sets the entry's own parts; added parts bring no tokens unless {@code full} is set.
     *
     * @param parts the parts
     * @param full whether added parts bring a full bucket, which is correct only for the first holder that the account
     *     ever has
     * @return the resulting step, not null
     */
    public synchronized BudgetStep setOwnParts(long parts, boolean full) {
        long now = advance();
        long before = ownParts;
        ownParts = released ? 0 : ShareParts.requireValid(parts);
        firstClaimDeadline = ownParts > 0 ? now : firstClaimDeadline;
        resize(now);
        if (full && ownParts > before) {
            bucket.deposit((ownParts - before) * burstTokens);
        }
        return processQueue(now);
    }

    /**
     * Withdraws own parts that are to be handed over.
     *
     * @param parts the parts requested
     * @param guaranteedParts the parts to withdraw even if they hold tokens, which are then lost; otherwise an entry with
     *     a full bucket would never hand over anything
     * @return the parts withdrawn, fewer than requested if not enough are idle or unlent
     */
    public synchronized long withdraw(long parts, long guaranteedParts) {
        long now = advance();
        long withdrawn = Math.min(parts, Math.max(idleParts(), Math.min(guaranteedParts, unlentParts())));
        ownParts -= withdrawn;
        resize(now);
        return withdrawn;
    }

    /**
     * Removes all own parts permanently.
     *
     * @return the clock time when all given loans have ended
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
     * Reserves tokens for a request, which may have to wait for them.
     *
     * @param ticket the number that identifies the request in the answer
     * @param tokens the tokens to reserve
     * @param deadlineLeft the time left until the request's deadline, not null
     * @return the resulting step, not null
     */
    public synchronized BudgetStep reserve(long ticket, long tokens, Duration deadlineLeft) {
        long now = advance();
        if (tokens > burstTokens) {
            boolean hasRate = burstTokens > 0;
            ResultCode code = hasRate ? ResultCode.REQUEST_ABOVE_BURST : ResultCode.OUT_OF_BUDGET;
            return new BudgetStep(
                    List.of(new BudgetAction.Refused(ticket, code, MIN_RETRY_DELAY)), OptionalLong.empty());
        }
        demand.add(tokens, now);
        long wait = Math.min(deadlineLeft.toNanos(), policy.longestWait().toNanos());
        waitQueue.add(new WaitQueue.Waiter(ticket, tokens, now + Math.max(0, wait)));
        return processQueue(now);
    }

    /**
     * Settles a finished request and refunds the tokens that it did not use.
     *
     * @param grant the reserved tokens, not null
     * @param actualTokens the tokens used
     * @return the resulting step, not null
     */
    public synchronized BudgetStep settle(Grant grant, long actualTokens) {
        long now = advance();
        bucket.settle(grant, Math.max(0, actualTokens));
        return processQueue(now);
    }

    /**
     * Handles expired timeouts and waiting requests; see {@link BudgetStep#wakeAt}.
     *
     * @return the resulting step, not null
     */
    public synchronized BudgetStep wake() {
        return processQueue(advance());
    }

    /**
     * Answers another entry's request for a loan.
     *
     * @param peer the other entry, not null
     * @param request its request, not null
     * @return the resulting step, not null
     */
    public synchronized BudgetStep onLoanRequested(InstanceId peer, BorrowRequest request) {
        long now = advance();
        List<BudgetAction> actions = new ArrayList<>();
        SharingPolicy.Decision decision = decideLoan(request, now);
        long lendableParts = Math.min(decision.lentParts(), unlentParts());
        long tokens = Math.max(0, Math.min(decision.lentTokens(), bucket.level() / ShareParts.WHOLE));
        // More tokens than fit into the lent parts would raise the borrower's bucket above its capacity.
        tokens = Math.min(tokens, lendableParts * burstTokens / ShareParts.WHOLE);
        bucket.withdraw(tokens * ShareParts.WHOLE);
        long parts = Math.min(lendableParts, Math.max(partsFor(tokens * ShareParts.WHOLE), idleParts()));
        Duration duration =
                request.duration().compareTo(policy.loanDuration()) < 0 ? request.duration() : policy.loanDuration();
        loansGiven.add(parts, now + policy.lenderNanos(duration));
        resize(now);
        actions.add(
                new BudgetAction.AnswerLoanRequest(peer, new Loan(request.number(), account, tokens, parts, duration)));
        planHandover(decision.handedOverParts(), request, now).ifPresent(actions::add);
        return new BudgetStep(actions, OptionalLong.empty());
    }

    private SharingPolicy.Decision decideLoan(BorrowRequest request, long now) {
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
        return policy.sharing().decide(position, request);
    }

    private Optional<BudgetAction> planHandover(long parts, BorrowRequest request, long now) {
        if (parts <= 0 || request.holderRow().isEmpty() || now < nextHandoverAt) {
            return Optional.empty();
        }
        nextHandoverAt = now + HANDOVER_INTERVAL_NANOS;
        return Optional.of(
                new BudgetAction.HandOver(account, request.holderRow().get(), parts));
    }

    /**
     * Handles another entry's answer to a request for a loan.
     *
     * @param peer the other entry, not null
     * @param loan the loan, not null
     * @return the resulting step, not null
     */
    public synchronized BudgetStep onLoanAnswered(InstanceId peer, Loan loan) {
        long now = advance();
        OptionalLong requestedAt = loanRequester.acceptAnswer(peer, loan);
        if (requestedAt.isPresent()) {
            // The lender measures the duration from after it received the request, so the loan ends here first.
            long expiresAt = requestedAt.getAsLong() + loan.duration().toNanos();
            if (now < expiresAt) {
                loansTaken.add(loan.parts(), expiresAt);
                resize(now);
                bucket.deposit(loan.tokens() * ShareParts.WHOLE);
            }
        }
        return processQueue(now);
    }

    /** Gets the parts not needed to hold the tokens in the bucket; removing more would lose tokens. */
    private long idleParts() {
        return Math.max(0, unlentParts() - partsFor(Math.max(0, bucket.level())));
    }

    private long partsFor(long amount) {
        return burstTokens <= 0 ? 0 : Math.min(ShareParts.WHOLE, (amount + burstTokens - 1) / burstTokens);
    }

    private long unlentParts() {
        return Math.max(0, ownParts - loansGiven.totalParts());
    }

    /** Advances the bucket and the loans to the current time, one loan expiry at a time, and returns that time. */
    private long advance() {
        long now = clock.nanos();
        long expiry = Math.min(loansGiven.nextExpiry(), loansTaken.nextExpiry());
        while (expiry <= now) {
            bucket.advance(expiry);
            loansGiven.expire(expiry);
            loansTaken.expire(expiry);
            resize(now);
            expiry = Math.min(loansGiven.nextExpiry(), loansTaken.nextExpiry());
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

    /** Gets the own parts that may be spent, without borrowed parts. */
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
        loanRequester
                .nextLender(peers, now)
                .ifPresent(peer -> actions.add(new BudgetAction.RequestLoan(peer, loanRequest(now))));
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

    private BorrowRequest loanRequest(long now) {
        long demandedPerSecond = demand.tokensPerSecond(now);
        long missing = waitQueue.totalTokens() - Math.max(0, bucket.level() / ShareParts.WHOLE);
        long tokens = Math.min(burstTokens, Math.max(missing, demandedPerSecond / 2));
        double missingCapacity =
                (double) waitQueue.head().orElseThrow().tokens() * ShareParts.WHOLE - bucket.capacity();
        double parts = Math.max(
                Math.max(0, missingCapacity) / Math.max(1, burstTokens),
                (double) demandedPerSecond / Math.max(1, tokensPerSecond) * ShareParts.WHOLE - unlentParts());
        return new BorrowRequest(
                loanRequester.requestNumber(),
                account,
                tokens,
                (long) Math.min(ShareParts.WHOLE, Math.max(0, Math.ceil(parts))),
                policy.loanDuration(),
                demandedPerSecond,
                ownParts,
                holderRow);
    }

    private void refuseUnservable(List<BudgetAction> actions, long now) {
        long spendableParts = spendableOwnParts(now);
        // A new entry or client account has no share until its claim has completed. Its first requests wait for the
        // claim; otherwise they would be refused although the account is within its rate.
        boolean mayReceiveBudget = loanRequester.mayReceiveLoan() || now < firstClaimDeadline;
        for (WaitQueue.Unservable unservable :
                waitQueue.removeUnservable((waiter, cumulativeTokens) -> now < waiter.deadline()
                        && (mayReceiveBudget
                                || ownInflowDelayNanos(waiter.tokens(), cumulativeTokens, spendableParts)
                                        <= waiter.deadline() - now))) {
            Duration retry = retryAfter(unservable.waiter().tokens(), unservable.cumulativeTokens(), spendableParts);
            actions.add(new BudgetAction.Refused(unservable.waiter().ticket(), ResultCode.OUT_OF_BUDGET, retry));
        }
    }

    /** Gets the nanoseconds until the inflow of the entry's own parts alone covers the tokens needed, or infinity. */
    private double ownInflowDelayNanos(long tokens, long cumulativeTokens, long spendableParts) {
        if (spendableParts <= 0 || tokensPerSecond <= 0 || tokens * ShareParts.WHOLE > spendableParts * burstTokens) {
            return Double.POSITIVE_INFINITY;
        }
        long missing = cumulativeTokens * ShareParts.WHOLE - Math.min(bucket.level(), spendableParts * burstTokens);
        return bucket.secondsFor(Math.max(0, missing), spendableParts * tokensPerSecond) * NANOS_PER_SECOND;
    }

    private Duration retryAfter(long tokens, long cumulativeTokens, long spendableParts) {
        double delay = ownInflowDelayNanos(tokens, cumulativeTokens, spendableParts);
        if (Double.isInfinite(delay) && tokensPerSecond > 0) {
            long missing = cumulativeTokens * ShareParts.WHOLE - Math.max(0, bucket.level());
            delay = bucket.secondsFor(missing, ShareParts.WHOLE * tokensPerSecond) * NANOS_PER_SECOND;
        }
        Duration exact = Duration.ofNanos((long) Math.min(delay, MAX_RETRY_DELAY.toNanos()));
        // Without a share of its own the entry cannot grant the request before its next scan for one.
        Duration minimum = spendableParts > 0 ? MIN_RETRY_DELAY : policy.scanInterval();
        return exact.compareTo(minimum) < 0 ? minimum : exact;
    }

    private OptionalLong wakeAt(long now) {
        if (waitQueue.isEmpty()) {
            return OptionalLong.empty();
        }
        long wakeTime = Math.min(waitQueue.earliestDeadline(), loanRequester.nextTimeout(now));
        wakeTime = Math.min(wakeTime, Math.min(loansGiven.nextExpiry(), loansTaken.nextExpiry()));
        WaitQueue.Waiter head = waitQueue.head().orElseThrow();
        wakeTime = now < firstClaimDeadline ? Math.min(wakeTime, firstClaimDeadline) : wakeTime;
        double delay = ownInflowDelayNanos(head.tokens(), head.tokens(), spendableOwnParts(now));
        wakeTime = (long) Math.min(wakeTime, now + delay);
        return OptionalLong.of(Math.max(wakeTime, now + MIN_WAKE_DELAY_NANOS));
    }
}
