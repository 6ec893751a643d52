package org.geraniumreach.node;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.messages.AdapterLoadRequest;
import org.geraniumreach.model.AccountId;

/**
 * What a request for an adapter's load says about the request that waits for it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param untilLate the time until the waiting request misses its objective, negative if it has, empty if no request waits
 * @param priority the priority of the waiting request, empty if loads are not ordered by it
 * @param mayDecline whether the load may be declined because the target has no slot for it in time
 */
record LoadDemand(Optional<Duration> untilLate, Optional<RequestPriority> priority, boolean mayDecline) {

    /** Converts a message; the priority is left out unless loads are ordered by it. */
    static LoadDemand fromMessage(AdapterLoadRequest message, boolean ordersLoads) {
        Optional<Duration> untilLate = message.getWaitedFor()
                ? Optional.of(Duration.ofMillis(message.getUntilLateMillis()))
                : Optional.empty();
        Optional<RequestPriority> priority =
                ordersLoads && message.hasUrgency() ? Optional.of(toPriority(message)) : Optional.empty();
        return new LoadDemand(untilLate, priority, message.getMayDecline());
    }

    private static RequestPriority toPriority(AdapterLoadRequest message) {
        return new RequestPriority(
                Math.min(RequestPriority.LEAST_URGENT, Math.max(0, message.getUrgency())),
                OrderedAdmissionLinks.toAccount(message.getAccount()),
                message.getAccountWeight());
    }

    /** Queries whether the waiting request is more urgent than another. */
    boolean isMoreUrgentThan(LoadDemand other) {
        return urgency() < other.urgency();
    }

    private int urgency() {
        return priority.map(RequestPriority::urgency).orElse(RequestPriority.LEAST_URGENT);
    }

    AdapterLoadRequest toMessage(String adapter) {
        AdapterLoadRequest.Builder message = AdapterLoadRequest.newBuilder()
                .setAdapter(adapter)
                .setWaitedFor(untilLate.isPresent())
                .setMayDecline(mayDecline)
                .setUntilLateMillis((int) untilLate.orElse(Duration.ZERO).toMillis());
        priority.ifPresent(known -> message.setUrgency(known.urgency())
                .setAccount(known.account().map(AccountId::value).orElse(""))
                .setAccountWeight(known.accountWeight()));
        return message.build();
    }
}
