package org.geraniumreach.model.record;

import java.util.Map;

import org.geraniumreach.model.ServiceName;

/**
 * A plain service and its operations.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the service
 * @param operations its operations by name
 */
public record Service(ServiceName name, Map<String, Operation> operations) {

    public Service {
        operations = Map.copyOf(operations);
    }

    /**
     * One operation.
     *
     * @param repeatable whether a call may run more than once
     * @param tokens what a call costs of the client account's budget
     */
    public record Operation(boolean repeatable, long tokens) {}
}
