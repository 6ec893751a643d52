package org.geraniumreach.gateway.port;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.geraniumreach.gateway.adapter.Order;
import org.geraniumreach.gateway.adapter.OrderResult;
import org.geraniumreach.gateway.adapter.TargetReport;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.request.GatewayRequest;

/**
 * The calls of targets.
 *
 * <p>Contract: listeners are called on the event loop, never from within the call itself, and never after a cancellation.
 * Every call names the life of the target that it is meant for. Confined to the event loop.
 */
public interface TargetPort {

    /**
     * What goes along with a request.
     *
     * @param account the name of the client account, empty if the request came without a key
     * @param left the time that the caller will still wait
     * @param urgency the rank within the target, 0 first
     * @param version the version of the adapter that must run, empty for any
     * @param lastEvent the number of the last event received of a stream that is resumed, empty to leave what the caller sent
     */
    record Envelope(
            Optional<String> account, Duration left, int urgency, OptionalLong version, OptionalLong lastEvent) {}

    /**
     * Sends a request.
     *
     * @param target where to, not null
     * @param request the request, not null
     * @param envelope what goes along with it, not null
     * @param longestIdle the longest time that a kept connection may have been idle, zero for a new one, not null
     * @param listener told of the answer, not null
     * @return closes the connection, by which the target stops, not null
     */
    Cancellable send(
            Target target,
            GatewayRequest request,
            Envelope envelope,
            Duration longestIdle,
            TargetAnswerListener listener);

    /**
     * Sends an order.
     *
     * @param target where to, not null
     * @param order the order, not null
     * @param holder this entry's instance, not null
     * @param result told of the result, not null
     * @return calls the waiting off, not null
     */
    Cancellable order(Target target, Order order, String holder, Consumer<OrderResult> result);

    /**
     * Reads the report.
     *
     * @param target of whom, not null
     * @param result told of the report, or of none, not null
     * @return calls the waiting off, not null
     */
    Cancellable report(Target target, Consumer<Optional<TargetReport>> result);
}
