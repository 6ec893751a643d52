package org.geraniumreach.gateway.request;

import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The open exchanges in the order in which their time ends.
 *
 * <p>After a pause the event loop runs what is due in the order in which it was queued, so timers of deadlines may come after many new
 * requests. Confined to the event loop.
 */
final class ExchangeDeadlines {

    private final PriorityQueue<Exchange> exchanges =
            new PriorityQueue<>((one, other) -> Long.signum(one.endsAt() - other.endsAt()));

    void add(Exchange exchange) {
        exchanges.add(exchange);
    }

    void remove(Exchange exchange) {
        exchanges.remove(exchange);
    }

    /** Removes and returns the exchange whose time ended first, empty if none has ended. */
    Optional<Exchange> pollDue(long now) {
        return Optional.ofNullable(exchanges.peek())
                .filter(next -> next.endsAt() - now <= 0)
                .map(next -> exchanges.poll());
    }
}
