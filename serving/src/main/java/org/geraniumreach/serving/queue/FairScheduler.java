package org.geraniumreach.serving.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AttemptId;

/**
 * Start-time fair queueing over client accounts, by tokens.
 *
 * <p>Each account has a virtual time, which its requests advance by their charge; the account that is least far on goes
 * next. Invariants: of two accounts that both have ready requests throughout, neither runs ahead of the other by more than
 * one charge of each and the slack; an account that had nothing ready saves nothing up; within an account, a ready request
 * is passed over by at most the allowed number of later ones. Confined to the lock of the queue that uses it.
 *
 * @param <T> the payload's type
 */
final class FairScheduler<T> implements RequestScheduler<T> {

    private final QueueWeights weights;
    private final Map<AccountId, AccountQueue<T>> accountQueues = new HashMap<>();
    private final Map<AttemptId, AccountId> accountByAttempt = new HashMap<>();
    private long arrivals;
    private double virtualNow;

    FairScheduler(QueueWeights weights) {
        this.weights = weights;
    }

    @Override
    public void add(QueuedRequest<T> request) {
        accountByAttempt.put(request.attempt(), request.account());
        accountQueues.computeIfAbsent(request.account(), account -> new AccountQueue<>()).add(request, ++arrivals);
    }

    @Override
    public Optional<QueuedRequest<T>> next(Readiness ready, RunningBatch batch) {
        AccountQueue<T> least = leastAdvanced(ready);
        if (least == null) {
            return Optional.empty();
        }
        AccountQueue<T> chosen = chooseWithinSlack(least, ready, batch);
        virtualNow = Math.max(virtualNow, least.virtualTime());
        QueuedRequest<T> request = chosen.take(ready, batch, weights.passedOverAtMost());
        chosen.addCharge(weights.charge(request.tokens(), request.priority()));
        accountByAttempt.remove(request.attempt());
        return Optional.of(request);
    }

    private AccountQueue<T> leastAdvanced(Readiness ready) {
        AccountQueue<T> least = null;
        for (AccountQueue<T> line : accountQueues.values()) {
            if (!line.activate(ready, virtualNow)) {
                continue;
            }
            if (least == null || line.virtualTime() < least.virtualTime()) {
                least = line;
            }
        }
        return least;
    }

    private AccountQueue<T> chooseWithinSlack(AccountQueue<T> least, Readiness ready, RunningBatch batch) {
        if (weights.accountSlackTokens() == 0 || least.hasReadyInBatch(batch, ready)) {
            return least;
        }
        double limit = least.virtualTime() + weights.accountSlackTokens();
        AccountQueue<T> best = least;
        for (AccountQueue<T> line : accountQueues.values()) {
            boolean better = best == least || line.virtualTime() < best.virtualTime();
            if (line.isActive() && line.virtualTime() <= limit && better && line.hasReadyInBatch(batch, ready)) {
                best = line;
            }
        }
        return best;
    }

    @Override
    public Optional<QueuedRequest<T>> remove(AttemptId attempt) {
        AccountId account = accountByAttempt.remove(attempt);
        return account == null ? Optional.empty() : accountQueues.get(account).remove(attempt);
    }

    /*
     * A request is charged with the most that it may generate. Without giving back what it did not, an account whose answers
     * end early would get less than its share.
     */
    @Override
    public void onFinished(QueuedRequest<T> request, long tokensUsed) {
        AccountQueue<T> line = accountQueues.get(request.account());
        if (line != null) {
            line.addCharge(weights.charge(tokensUsed - request.tokens(), request.priority()));
            removeIfIdle(request.account(), line);
        }
    }

    private void removeIfIdle(AccountId account, AccountQueue<T> line) {
        if (line.isEmpty() && line.virtualTime() <= virtualNow) {
            accountQueues.remove(account);
        }
    }

    @Override
    public long tokensAhead(QueuedRequest<T> request) {
        long all = 0;
        long waitingAccounts = 0;
        long own = 0;
        for (Map.Entry<AccountId, AccountQueue<T>> entry : accountQueues.entrySet()) {
            long tokens = entry.getValue().waitingTokens();
            all += tokens;
            waitingAccounts += tokens > 0 ? 1 : 0;
            own = entry.getKey().equals(request.account()) ? tokens : own;
        }
        return Math.min(all, own * waitingAccounts + request.tokens() * Math.max(0, waitingAccounts - 1));
    }
}
