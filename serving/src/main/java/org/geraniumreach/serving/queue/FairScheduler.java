package org.geraniumreach.serving.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AttemptId;

/**
 * Start-time fair queueing over client accounts, by tokens.
 *
 * <p>Each account has a virtual time, which advances by the charge of each of its requests; the account with the lowest
 * virtual time goes next. Invariants: if two accounts have ready requests throughout, neither gets ahead of the other
 * by more than one charge of each plus the slack; an account without ready requests accumulates no credit; within an
 * account, a ready request is passed over by at most the allowed number of later ones. Guarded by the lock of its
 * {@link RequestQueue}.
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
        accountQueues
                .computeIfAbsent(request.account(), account -> new AccountQueue<>())
                .add(request, ++arrivals);
    }

    @Override
    public Optional<QueuedRequest<T>> next(Readiness ready, RunningBatch batch) {
        AccountQueue<T> lowest = leastAdvanced(ready);
        if (lowest == null) {
            return Optional.empty();
        }
        AccountQueue<T> chosen = chooseWithinSlack(lowest, ready, batch);
        virtualNow = Math.max(virtualNow, lowest.virtualTime());
        QueuedRequest<T> request = chosen.take(ready, batch, weights.passedOverAtMost());
        chosen.addCharge(weights.charge(request.tokens(), request.priority()));
        accountByAttempt.remove(request.attempt());
        return Optional.of(request);
    }

    private AccountQueue<T> leastAdvanced(Readiness ready) {
        AccountQueue<T> lowest = null;
        for (AccountQueue<T> queue : accountQueues.values()) {
            if (!queue.activate(ready, virtualNow)) {
                continue;
            }
            if (lowest == null || queue.virtualTime() < lowest.virtualTime()) {
                lowest = queue;
            }
        }
        return lowest;
    }

    private AccountQueue<T> chooseWithinSlack(AccountQueue<T> lowest, Readiness ready, RunningBatch batch) {
        if (weights.accountSlackTokens() == 0 || lowest.hasReadyInBatch(batch, ready)) {
            return lowest;
        }
        double limit = lowest.virtualTime() + weights.accountSlackTokens();
        AccountQueue<T> best = lowest;
        for (AccountQueue<T> queue : accountQueues.values()) {
            boolean better = best == lowest || queue.virtualTime() < best.virtualTime();
            if (queue.isActive() && queue.virtualTime() <= limit && better && queue.hasReadyInBatch(batch, ready)) {
                best = queue;
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
     * A request is charged for the maximum number of tokens that it may generate. Unless the unused tokens are
     * refunded, an account whose answers end early would get less than its share.
     */
    @Override
    public void onFinished(QueuedRequest<T> request, long tokensUsed) {
        AccountQueue<T> queue = accountQueues.get(request.account());
        if (queue != null) {
            queue.addCharge(weights.charge(tokensUsed - request.tokens(), request.priority()));
            removeIfIdle(request.account(), queue);
        }
    }

    private void removeIfIdle(AccountId account, AccountQueue<T> queue) {
        if (queue.isEmpty() && queue.virtualTime() <= virtualNow) {
            accountQueues.remove(account);
        }
    }

    @Override
    public long tokensAhead(QueuedRequest<T> request) {
        long allTokens = 0;
        long waitingAccounts = 0;
        long ownTokens = 0;
        for (Map.Entry<AccountId, AccountQueue<T>> entry : accountQueues.entrySet()) {
            long tokens = entry.getValue().waitingTokens();
            allTokens += tokens;
            waitingAccounts += tokens > 0 ? 1 : 0;
            ownTokens = entry.getKey().equals(request.account()) ? tokens : ownTokens;
        }
        return Math.min(allTokens, ownTokens * waitingAccounts + request.tokens() * Math.max(0, waitingAccounts - 1));
    }
}
