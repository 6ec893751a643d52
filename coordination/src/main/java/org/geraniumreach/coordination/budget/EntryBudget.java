package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

import org.geraniumreach.coordination.budget.HolderId.ListedHolder;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;

/**
 * The budgets of all client accounts at one entry, with the shares that they live on.
 *
 * <p>Invariants: an account's budget never has more own parts than {@link ShareKeeper#usableParts}; each event's step is handed
 * back to its caller, who carries the actions out. Safe for use by several threads: each account is under a lock of its own,
 * the keeper under another, and an account's lock is taken within the keeper's but never the other way round.
 */
public final class EntryBudget {

    private final BudgetPolicy policy;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final HoldingProof leaseValidity;
    private final ShareKeeper shareManager;
    private final Map<AccountId, AccountBudget> accounts = new ConcurrentHashMap<>();
    private volatile List<InstanceId> peers = List.of();

    /**
     * A step of one account.
     *
     * @param account the account
     * @param step what came of an event
     */
    public record AccountStep(AccountId account, BudgetStep step) {}

    /**
     * Makes budgets without accounts.
     *
     * @param self this entry, not null
     * @param policy times and choices, not null
     * @param clock the source of elapsed time, not null
     * @param random the source of random choices, safe for use by several threads, not null
     */
    public EntryBudget(HolderId self, BudgetPolicy policy, MonotonicClock clock, RandomGenerator random) {
        this.policy = Objects.requireNonNull(policy, "policy");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.leaseValidity = new HoldingProof(policy.proofLimit().toNanos());
        this.shareManager = new ShareKeeper(self, policy, leaseValidity, clock, this::withdraw);
    }

    private long withdraw(AccountId account, long parts) {
        AccountBudget budget = accounts.get(account);
        return budget == null ? parts : budget.withdraw(parts);
    }

    private AccountBudget budget(AccountId account) {
        return accounts.computeIfAbsent(account, missing -> {
            AccountBudget made = new AccountBudget(missing, policy, leaseValidity, clock, random);
            made.setPeersAndHolderRow(peers, shareManager.rowKey());
            return made;
        });
    }

    /**
     * Sets an account's rate and burst.
     *
     * @param account the account, not null
     * @param tokensPerSecond the rate over all entries together, 0 to stop the account
     * @param burstTokens the burst over all entries together
     * @return what came of it, not null
     */
    public BudgetStep setRate(AccountId account, long tokensPerSecond, long burstTokens) {
        return budget(account).setRate(tokensPerSecond, burstTokens);
    }

    /**
     * Sets the accounts that exist.
     *
     * @param existing the accounts, not null
     */
    public void setAccounts(Set<AccountId> existing) {
        shareManager.setAccounts(existing);
    }

    /**
     * Sets the entries that may be asked for loans.
     *
     * @param newPeers the entries, not null
     */
    public void setPeers(List<InstanceId> newPeers) {
        peers = List.copyOf(newPeers);
        accounts.values().forEach(budget -> budget.setPeersAndHolderRow(peers, shareManager.rowKey()));
    }

    /**
     * Takes a reading of the instance list.
     *
     * @param listed the entries listed, not null
     * @param askedAt the time before the list was asked for
     */
    public void listed(Set<ListedHolder> listed, long askedAt) {
        shareManager.onHoldersListed(listed, askedAt);
    }

    /**
     * Asks for tokens; see {@link AccountBudget#reserve}.
     *
     * @param account the account, not null
     * @param ticket the number by which the answer tells which request it is for
     * @param tokens the tokens
     * @param deadlineLeft the time that the request has left, not null
     * @return what came of it, not null
     */
    public BudgetStep reserve(AccountId account, long ticket, long tokens, Duration deadlineLeft) {
        AccountBudget budget = budget(account);
        BudgetStep step = budget.reserve(ticket, tokens, deadlineLeft);
        if (budget.ownParts() == 0) {
            shareManager.claim(account);
        }
        return step;
    }

    /**
     * Ends a request; see {@link AccountBudget#settle}.
     *
     * @param account the account, not null
     * @param grant the tokens set aside, not null
     * @param actualTokens the tokens used
     * @return what came of it, not null
     */
    public BudgetStep settle(AccountId account, Grant grant, long actualTokens) {
        return budget(account).settle(grant, actualTokens);
    }

    /**
     * Does what is due for an account.
     *
     * @param account the account, not null
     * @return what came of it, not null
     */
    public BudgetStep wake(AccountId account) {
        return budget(account).wake();
    }

    /**
     * Answers another entry that asks for a loan, and notes what is to be handed over to it.
     *
     * @param peer the other entry, not null
     * @param wish what it asks, not null
     * @return what came of it, not null
     */
    public BudgetStep loanAsked(InstanceId peer, LoanWish wish) {
        BudgetStep step = budget(wish.account()).onLoanRequested(peer, wish);
        step.actions().stream()
                .filter(BudgetAction.HandOver.class::isInstance)
                .map(BudgetAction.HandOver.class::cast)
                .forEach(shareManager::handOver);
        return step;
    }

    /**
     * Takes another entry's answer to a request for a loan.
     *
     * @param peer the other entry, not null
     * @param loan what it lends, not null
     * @return what came of it, not null
     */
    public BudgetStep loanAnswered(InstanceId peer, Loan loan) {
        return budget(loan.account()).onLoanAnswered(peer, loan);
    }

    /**
     * Gets the keeper of this entry's shares; after each answer that it is given, {@link #publish} must be called.
     *
     * @return the keeper, not null
     */
    public ShareKeeper keeper() {
        return shareManager;
    }

    /**
     * Gives the accounts' budgets the parts that the keeper holds for certain now.
     *
     * @return what came of it for the accounts whose parts have changed, not null
     */
    public List<AccountStep> publish() {
        Set<AccountId> first = shareManager.takeFirstIssued();
        List<AccountStep> steps = new ArrayList<>();
        for (Map.Entry<AccountId, AccountBudget> entry : accounts.entrySet()) {
            AccountBudget budget = entry.getValue();
            long parts = shareManager.usableParts(entry.getKey());
            budget.setPeersAndHolderRow(peers, shareManager.rowKey());
            if (parts != budget.ownParts()) {
                BudgetStep step = budget.setOwnParts(parts, first.contains(entry.getKey()));
                steps.add(new AccountStep(entry.getKey(), step));
            }
        }
        return steps;
    }

    /** Gives all shares back, once the loans given are over; nothing is granted from them any more. */
    public void release() {
        long loansEndAt = clock.nanos();
        for (AccountBudget budget : accounts.values()) {
            loansEndAt = Math.max(loansEndAt, budget.release());
        }
        shareManager.release(loansEndAt);
    }

    /**
     * Gets the parts of an account that this entry holds itself.
     *
     * @param account the account, not null
     * @return the parts
     */
    public long ownParts(AccountId account) {
        return budget(account).ownParts();
    }

    /**
     * Queries whether the shares held may be spent now.
     *
     * @return true if they may
     */
    public boolean isProved() {
        return leaseValidity.isValid(clock.nanos());
    }

    /**
     * Gets the tokens that an account may spend here at once.
     *
     * @param account the account, not null
     * @return the tokens
     */
    public long availableTokens(AccountId account) {
        return budget(account).availableTokens();
    }
}
