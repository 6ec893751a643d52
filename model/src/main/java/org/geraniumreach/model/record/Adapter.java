package org.geraniumreach.model.record;

import java.util.Set;

/**
 * An adapter and the versions of it that may be named.
 *
 * <p>Invariant: at least one version. Immutable and safe for use by several threads.
 *
 * @param name the adapter's name
 * @param baseModel the model it adapts
 * @param versions the versions that may be named
 */
public record Adapter(String name, String baseModel, Set<String> versions) {

    public Adapter {
        versions = Set.copyOf(versions);
    }
}
