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
 * The budgets of all client accounts at one entry and the shares that back them.
 *
 * <p>Invariants: an account's budget never has more own parts than {@link ShareManager#usableParts}; the caller of each
 * method carries out the actions of the returned step. Safe for use by several threads: each account and the {@link
 * ShareManager} have locks of their own, and an account's lock may be acquired while holding the latter, never the other
 * way round.
 */
public final class EntryBudget {

    private final BudgetPolicy policy;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final LeaseValidity leaseValidity;
    private final ShareManager shareManager;
    private final Map<AccountId, AccountBudget> accounts = new ConcurrentHashMap<>();
    private volatile List<InstanceId> peers = List.of();

    /**
     * The step of one account.
     *
     * @param account the account
     * @param step the result of an event
     */
    public record AccountStep(AccountId account, BudgetStep step) {}

    /**
     * Creates budgets without accounts.
     *
     * @param self this entry, not null
     * @param policy the time limits and the sharing policy, not null
     * @param clock the source of elapsed time, not null
     * @param random the source of random choices, safe for use by several threads, not null
     */
    public EntryBudget(HolderId self, BudgetPolicy policy, MonotonicClock clock, RandomGenerator random) {
        this.policy = Objects.requireNonNull(policy, "policy");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.leaseValidity = new LeaseValidity(policy.proofLimit().toNanos());
        this.shareManager = new ShareManager(self, policy, leaseValidity, clock, this::withdraw);
    }

    private long withdraw(AccountId account, long parts, long guaranteedParts) {
        AccountBudget budget = accounts.get(account);
        return budget == null ? parts : budget.withdraw(parts, guaranteedParts);
    }

    private AccountBudget budget(AccountId account) {
        return accounts.computeIfAbsent(account, missing -> {
            AccountBudget created = new AccountBudget(missing, policy, leaseValidity, clock, random);
            created.setPeersAndHolderRow(peers, shareManager.rowKey());
            return created;
        });
    }

    /**
     * Sets an account's rate and burst.
     *
     * @param account the account, not null
     * @param tokensPerSecond the rate over all entries together, 0 to stop the account
     * @param burstTokens the burst over all entries together
     * @return the resulting step, not null
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
     * Handles a read of the instance list.
     *
     * @param listed the listed entries, not null
     * @param requestedAt a time before the list was requested
     */
    public void onHoldersListed(Set<ListedHolder> listed, long requestedAt) {
        shareManager.onHoldersListed(listed, requestedAt);
    }

    /**
     * Reserves tokens for a request; see {@link AccountBudget#reserve}.
     *
     * @param account the account, not null
     * @param ticket the number that identifies the request in the answer
     * @param tokens the tokens to reserve
     * @param deadlineLeft the time left until the request's deadline, not null
     * @return the resulting step, not null
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
     * Settles a finished request; see {@link AccountBudget#settle}.
     *
     * @param account the account, not null
     * @param grant the reserved tokens, not null
     * @param actualTokens the tokens used
     * @return the resulting step, not null
     */
    public BudgetStep settle(AccountId account, Grant grant, long actualTokens) {
        return budget(account).settle(grant, actualTokens);
    }

    /**
     * Handles expired timeouts and waiting requests of an account; see {@link BudgetStep#wakeAt}.
     *
     * @param account the account, not null
     * @return the resulting step, not null
     */
    public BudgetStep wake(AccountId account) {
        return budget(account).wake();
    }

    /**
     * Answers another entry's request for a loan and enqueues the resulting handover.
     *
     * @param peer the other entry, not null
     * @param request its request, not null
     * @return the resulting step, not null
     */
    public BudgetStep onLoanRequested(InstanceId peer, BorrowRequest request) {
        BudgetStep step = budget(request.account()).onLoanRequested(peer, request);
        step.actions().stream()
                .filter(BudgetAction.HandOver.class::isInstance)
                .map(BudgetAction.HandOver.class::cast)
                .forEach(shareManager::handOver);
        return step;
    }

    /**
     * Handles another entry's answer to a request for a loan.
     *
     * @param peer the other entry, not null
     * @param loan the loan, not null
     * @return the resulting step, not null
     */
    public BudgetStep onLoanAnswered(InstanceId peer, Loan loan) {
        return budget(loan.account()).onLoanAnswered(peer, loan);
    }

    /**
     * Gets the object that manages this entry's shares; {@link #publishShares} must be called after each result reported to it.
     *
     * @return the object, not null
     */
    public ShareManager shareManager() {
        return shareManager;
    }

    /**
     * Updates the accounts' budgets to the parts that this entry is certain to hold.
     *
     * @return the steps of the accounts whose parts have changed, not null
     */
    public List<AccountStep> publishShares() {
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

    /** Stops granting from this entry's shares and returns them once all given loans have ended. */
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
     * Queries whether this entry's shares may be spent now.
     *
     * @return true if they may
     */
    public boolean mayUseShares() {
        return leaseValidity.isValid(clock.nanos());
    }

    /**
     * Gets the tokens that an account may spend immediately at this entry.
     *
     * @param account the account, not null
     * @return the tokens
     */
    public long availableTokens(AccountId account) {
        return budget(account).availableTokens();
    }
}
