package org.geraniumreach.serving.routing;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.FailureDomain;

/**
 * Where a router runs and what it weighs.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param weights what it weighs
 * @param failureDomain the entry's failure domain, empty if targets of all domains are as near
 * @param rememberedAdapters the adapters whose order is kept
 */
public record RouterSettings(RoutingWeights weights, Optional<FailureDomain> failureDomain, int rememberedAdapters) {

    /** The adapters whose order is kept unless said otherwise. */
    public static final int DEFAULT_REMEMBERED_ADAPTERS = 32_768;

    public RouterSettings {
        Objects.requireNonNull(weights, "weights");
        Objects.requireNonNull(failureDomain, "failureDomain");
        if (rememberedAdapters < 1) {
            throw new IllegalArgumentException("rememberedAdapters below 1: " + rememberedAdapters);
        }
    }

    /**
     * Obtains settings from weights, without a preference for a failure domain.
     *
     * @param weights what the router weighs, not null
     * @return the settings, not null
     */
    public static RouterSettings of(RoutingWeights weights) {
        return new RouterSettings(weights, Optional.empty(), DEFAULT_REMEMBERED_ADAPTERS);
    }

    public RouterSettings withFailureDomain(FailureDomain domain) {
        return new RouterSettings(weights, Optional.of(domain), rememberedAdapters);
    }
}
