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
final class WaitingLine {

    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long tokens;

    /**
     * A request that waits.
     *
     * @param ticket its number
     * @param tokens what it needs
     * @param latest when it is to be refused
     */
    record Waiter(long ticket, long tokens, long latest) {}

    /**
     * A request that cannot be served in time.
     *
     * @param waiter the request
     * @param neededAhead the tokens needed by those before it and itself
     */
    record Hopeless(Waiter waiter, long neededAhead) {}

    /** Tells whether a request will be served in time, given the tokens needed by those before it and itself. */
    @FunctionalInterface
    interface Prospect {

        boolean isServed(Waiter waiter, long neededAhead);
    }

    void add(Waiter waiter) {
        waiters.add(waiter);
        tokens += waiter.tokens();
    }

    boolean isEmpty() {
        return waiters.isEmpty();
    }

    /** Gets the tokens that all need together. */
    long tokens() {
        return tokens;
    }

    Optional<Waiter> head() {
        return Optional.ofNullable(waiters.peek());
    }

    void removeHead() {
        tokens -= waiters.remove().tokens();
    }

    /** Takes out those that will not be served in time; those behind them move up. */
    List<Hopeless> removeHopeless(Prospect prospect) {
        List<Hopeless> removed = new ArrayList<>();
        long ahead = 0;
        for (Iterator<Waiter> inOrder = waiters.iterator(); inOrder.hasNext(); ) {
            Waiter waiter = inOrder.next();
            if (prospect.isServed(waiter, ahead + waiter.tokens())) {
                ahead += waiter.tokens();
                continue;
            }
            removed.add(new Hopeless(waiter, ahead + waiter.tokens()));
            inOrder.remove();
            tokens -= waiter.tokens();
        }
        return removed;
    }

    /** Gets the earliest time at which one is to be refused. */
    long earliestLimit() {
        return waiters.stream().mapToLong(Waiter::latest).min().orElse(Long.MAX_VALUE);
    }
}
