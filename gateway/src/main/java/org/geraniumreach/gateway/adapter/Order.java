package org.geraniumreach.gateway.adapter;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * An order to a target to load or unload a base model or an adapter.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param operation the operation
 * @param model the base model
 * @param adapter the adapter, empty for the base model itself
 * @param expectedOrders the number of orders that the target must have accepted before; it refuses the order if it has accepted
 *     another number, so an order that arrives late has no effect; empty if the number is unknown
 * @param fence the fencing token of the target's owner
 */
public record Order(
        Operation operation, String model, Optional<String> adapter, OptionalLong expectedOrders, long fence) {

    public Order {
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(expectedOrders, "expectedOrders");
    }

    /** The operation that an order requests. */
    public enum Operation {
        LOAD,
        UNLOAD
    }
}
