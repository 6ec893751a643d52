package org.geraniumreach.coordination.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * The requests that wait for budget, in order of arrival.
 *
 * <p>Not safe for use by several threads.
 */
final class WaitQueue {

    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long totalTokens;

    /**
     * A request that waits.
     *
     * @param ticket its number
     * @param tokens what it needs
     * @param deadline when it is to be refused
     */
    record Waiter(long ticket, long tokens, long deadline) {}

    /**
     * A request that cannot be served in time.
     *
     * @param waiter the request
     * @param cumulativeTokens the tokens needed by those before it and itself
     */
    record Unservable(Waiter waiter, long cumulativeTokens) {}

    /** Tells whether a request will be served in time, given the tokens needed by those before it and itself. */
    @FunctionalInterface
    interface ServiceForecast {

        boolean canServe(Waiter waiter, long neededAhead);
    }

    void add(Waiter waiter) {
        waiters.add(waiter);
        totalTokens += waiter.tokens();
    }

    boolean isEmpty() {
        return waiters.isEmpty();
    }

    /** Gets the tokens that all need together. */
    long totalTokens() {
        return totalTokens;
    }

    Optional<Waiter> head() {
        return Optional.ofNullable(waiters.peek());
    }

    void removeHead() {
        totalTokens -= waiters.remove().tokens();
    }

    /** Takes out those that will not be served in time; those behind them move up. */
    List<Unservable> removeUnservable(ServiceForecast prospect) {
        List<Unservable> removed = new ArrayList<>();
        long ahead = 0;
        for (Iterator<Waiter> inOrder = waiters.iterator(); inOrder.hasNext(); ) {
            Waiter waiter = inOrder.next();
            if (prospect.canServe(waiter, ahead + waiter.tokens())) {
                ahead += waiter.tokens();
                continue;
            }
            removed.add(new Unservable(waiter, ahead + waiter.tokens()));
            inOrder.remove();
            totalTokens -= waiter.tokens();
        }
        return removed;
    }

    /** Gets the earliest time at which one is to be refused. */
    long earliestDeadline() {
        return waiters.stream().mapToLong(Waiter::deadline).min().orElse(Long.MAX_VALUE);
    }
}
