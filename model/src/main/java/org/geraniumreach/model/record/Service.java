package org.geraniumreach.model.record;

import java.util.Map;

import org.geraniumreach.model.ServiceName;

/**
 * A plain service and its operations.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name of the service
 * @param operations the operations by name
 */
public record Service(ServiceName name, Map<String, Operation> operations) {

    public Service {
        operations = Map.copyOf(operations);
    }

    /**
     * An operation of a service.
     *
     * @param repeatable whether a call may be executed more than once
     * @param tokens the cost of a call, charged to the client account's budget
     */
    public record Operation(boolean repeatable, long tokens) {}
}
