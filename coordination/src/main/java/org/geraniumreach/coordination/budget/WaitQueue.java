package org.geraniumreach.coordination.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * A queue of the requests that wait for budget, in order of arrival.
 *
 * <p>Not safe for use by several threads.
 */
final class WaitQueue {

    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long totalTokens;

    /**
     * A waiting request.
     *
     * @param ticket the number of the request
     * @param tokens the tokens that it needs
     * @param deadline the time when it must be refused
     */
    record Waiter(long ticket, long tokens, long deadline) {}

    /**
     * A request that cannot be served before its deadline.
     *
     * @param waiter the request
     * @param cumulativeTokens the tokens needed by this request and all requests ahead of it
     */
    record Unservable(Waiter waiter, long cumulativeTokens) {}

    /**
     * Predicts whether a request can be served before its deadline, given the tokens needed by it and all requests
     * ahead of it.
     */
    @FunctionalInterface
    interface ServiceForecast {

        boolean canServe(Waiter waiter, long cumulativeTokens);
    }

    void add(Waiter waiter) {
        waiters.add(waiter);
        totalTokens += waiter.tokens();
    }

    boolean isEmpty() {
        return waiters.isEmpty();
    }

    /** Gets the sum of the tokens that all requests need. */
    long totalTokens() {
        return totalTokens;
    }

    Optional<Waiter> head() {
        return Optional.ofNullable(waiters.peek());
    }

    void removeHead() {
        totalTokens -= waiters.remove().tokens();
    }

    /** Removes the requests that cannot be served before their deadline; those behind them move up. */
    List<Unservable> removeUnservable(ServiceForecast forecast) {
        List<Unservable> removed = new ArrayList<>();
        long precedingTokens = 0;
        for (Iterator<Waiter> iterator = waiters.iterator(); iterator.hasNext(); ) {
            Waiter waiter = iterator.next();
            if (forecast.canServe(waiter, precedingTokens + waiter.tokens())) {
                precedingTokens += waiter.tokens();
                continue;
            }
            removed.add(new Unservable(waiter, precedingTokens + waiter.tokens()));
            iterator.remove();
            totalTokens -= waiter.tokens();
        }
        return removed;
    }

    /** Gets the earliest deadline of all requests, or {@link Long#MAX_VALUE} if none wait. */
    long earliestDeadline() {
        return waiters.stream().mapToLong(Waiter::deadline).min().orElse(Long.MAX_VALUE);
    }
}
