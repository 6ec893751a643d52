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
final class FairOrder<T> implements RequestOrder<T> {

    private final QueueWeights weights;
    private final Map<AccountId, AccountLine<T>> lines = new HashMap<>();
    private final Map<AttemptId, AccountId> accounts = new HashMap<>();
    private long arrivals;
    private double virtualNow;

    FairOrder(QueueWeights weights) {
        this.weights = weights;
    }

    @Override
    public void add(QueuedRequest<T> request) {
        accounts.put(request.attempt(), request.account());
        lines.computeIfAbsent(request.account(), account -> new AccountLine<>()).add(request, ++arrivals);
    }

    @Override
    public Optional<QueuedRequest<T>> next(Readiness ready, Batch batch) {
        AccountLine<T> least = leastAdvanced(ready);
        if (least == null) {
            return Optional.empty();
        }
        AccountLine<T> chosen = withinSlack(least, ready, batch);
        virtualNow = Math.max(virtualNow, least.virtualTime());
        QueuedRequest<T> request = chosen.take(ready, batch, weights.passedOverAtMost());
        chosen.advance(weights.charge(request.tokens(), request.priority()));
        accounts.remove(request.attempt());
        return Optional.of(request);
    }

    private AccountLine<T> leastAdvanced(Readiness ready) {
        AccountLine<T> least = null;
        for (AccountLine<T> line : lines.values()) {
            if (!line.activate(ready, virtualNow)) {
                continue;
            }
            if (least == null || line.virtualTime() < least.virtualTime()) {
                least = line;
            }
        }
        return least;
    }

    private AccountLine<T> withinSlack(AccountLine<T> least, Readiness ready, Batch batch) {
        if (weights.accountSlackTokens() == 0 || least.hasReadyIn(batch, ready)) {
            return least;
        }
        double limit = least.virtualTime() + weights.accountSlackTokens();
        AccountLine<T> best = least;
        for (AccountLine<T> line : lines.values()) {
            boolean better = best == least || line.virtualTime() < best.virtualTime();
            if (line.isActive() && line.virtualTime() <= limit && better && line.hasReadyIn(batch, ready)) {
                best = line;
            }
        }
        return best;
    }

    @Override
    public Optional<QueuedRequest<T>> remove(AttemptId attempt) {
        AccountId account = accounts.remove(attempt);
        return account == null ? Optional.empty() : lines.get(account).remove(attempt);
    }

    /*
     * A request is charged with the most that it may generate. Without giving back what it did not, an account whose answers
     * end early would get less than its share.
     */
    @Override
    public void finished(QueuedRequest<T> request, long tokensUsed) {
        AccountLine<T> line = lines.get(request.account());
        if (line != null) {
            line.advance(weights.charge(tokensUsed - request.tokens(), request.priority()));
            forgetIfIdle(request.account(), line);
        }
    }

    private void forgetIfIdle(AccountId account, AccountLine<T> line) {
        if (line.isEmpty() && line.virtualTime() <= virtualNow) {
            lines.remove(account);
        }
    }

    @Override
    public long tokensAhead(QueuedRequest<T> request) {
        long all = 0;
        long waitingAccounts = 0;
        long own = 0;
        for (Map.Entry<AccountId, AccountLine<T>> entry : lines.entrySet()) {
            long tokens = entry.getValue().waitingTokens();
            all += tokens;
            waitingAccounts += tokens > 0 ? 1 : 0;
            own = entry.getKey().equals(request.account()) ? tokens : own;
        }
        return Math.min(all, own * waitingAccounts + request.tokens() * Math.max(0, waitingAccounts - 1));
    }
}
