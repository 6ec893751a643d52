package org.geraniumreach.gateway.adapter;

import java.util.Map;
import java.util.Set;

/**
 * A report of a target on its state, which may be some tenths of a second old.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param acceptedOrders the number of orders that this incarnation of the target has accepted
 * @param models the loaded base models, with the versions of their loaded adapters by adapter name
 * @param loading the names of the adapters that are being loaded
 */
public record TargetReport(long acceptedOrders, Map<String, Map<String, Long>> models, Set<String> loading) {

    public TargetReport {
        models = Map.copyOf(models);
        loading = Set.copyOf(loading);
    }
}
