package org.geraniumreach.gateway.traffic;

import java.util.Objects;

/**
 * The name of an adapter of a base model, without a version.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param baseModel the base model's name
 * @param adapter the adapter's name
 */
public record AdapterName(String baseModel, String adapter) {

    public AdapterName {
        Objects.requireNonNull(baseModel, "baseModel");
        Objects.requireNonNull(adapter, "adapter");
    }

    @Override
    public String toString() {
        return baseModel + "/" + adapter;
    }
}
