package org.geraniumreach.gateway.port;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.geraniumreach.gateway.adapter.Order;
import org.geraniumreach.gateway.adapter.OrderResult;
import org.geraniumreach.gateway.adapter.TargetReport;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.request.GatewayRequest;

/**
 * Sends requests and orders to targets, and reads their reports.
 *
 * <p>Contract: listeners are called on the event loop, never from within the call itself, and never after a cancellation.
 * Each call names the target incarnation that it is meant for. Confined to the event loop.
 */
public interface TargetPort {

    /**
     * Metadata sent to the target with a request.
     *
     * @param account the name of the client account, empty if the request came without a key
     * @param remainingTime gets the time for which the caller will still wait, called when the request is written
     * @param urgency the priority within the target, 0 is the highest
     * @param version gets the adapter version that must run the request, empty for any, called when the request is written
     * @param lastEvent the number of the last event received if a stream is resumed, empty to keep the value sent by the caller
     */
    record RequestMetadata(
            Optional<String> account,
            Supplier<Duration> remainingTime,
            int urgency,
            Supplier<OptionalLong> version,
            OptionalLong lastEvent) {}

    /**
     * Sends a request.
     *
     * @param target the target, not null
     * @param request the request, not null
     * @param metadata the metadata to send with it, not null
     * @param maxIdleTime the longest time for which a reused connection may have been idle, zero to open a new one, not null
     * @param listener receives the answer, not null
     * @return closes the connection, which makes the target stop the request, not null
     */
    Cancellable send(
            Target target,
            GatewayRequest request,
            RequestMetadata metadata,
            Duration maxIdleTime,
            TargetAnswerListener listener);

    /**
     * Sends an order.
     *
     * @param target the target, not null
     * @param order the order, not null
     * @param holder this entry's instance, not null
     * @param onResult receives the result, not null
     * @return stops waiting for the result, not null
     */
    Cancellable sendOrder(Target target, Order order, String holder, Consumer<OrderResult> onResult);

    /**
     * Checks whether the process of a target has ended, which is certain only if nobody listens at its address.
     *
     * @param target the target, not null
     * @param onResult receives true if it has certainly ended, not null
     */
    void checkEnded(Target target, Consumer<Boolean> onResult);

    /**
     * Reads a target's report.
     *
     * @param target the target, not null
     * @param onResult receives the report, or empty if there is none, not null
     * @return stops waiting for the report, not null
     */
    Cancellable fetchReport(Target target, Consumer<Optional<TargetReport>> onResult);
}
