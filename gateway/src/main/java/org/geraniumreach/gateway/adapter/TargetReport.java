package org.geraniumreach.gateway.adapter;

import java.util.Map;
import java.util.Set;

/**
 * A target's own report, which is some tenths of a second old.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param acceptedOrders the orders accepted in this life
 * @param models the base models held, with the version of each adapter by its name
 * @param loading the adapters that are being loaded, by their names
 */
public record TargetReport(long acceptedOrders, Map<String, Map<String, Long>> models, Set<String> loading) {

    public TargetReport {
        models = Map.copyOf(models);
        loading = Set.copyOf(loading);
    }
}
