package org.geraniumreach.gateway.adapter;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * An order to a target.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param operation what to do
 * @param model the base model
 * @param adapter the adapter, empty for the base model itself
 * @param expectedOrders the number of orders that the target must have accepted before; a target that has accepted another
 *     number refuses, so an order that arrives late does nothing; empty if the number is not known
 * @param fence the holder's fence
 */
public record Order(
        Operation operation, String model, Optional<String> adapter, OptionalLong expectedOrders, long fence) {

    public Order {
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(expectedOrders, "expectedOrders");
    }

    /** What an order asks for. */
    public enum Operation {
        LOAD,
        UNLOAD
    }
}
