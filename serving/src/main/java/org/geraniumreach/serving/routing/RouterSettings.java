package org.geraniumreach.serving.routing;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.FailureDomain;

/**
 * The settings of a router.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param weights the cost weights
 * @param failureDomain the entry's failure domain, empty to prefer none
 * @param rememberedAdapters the maximum number of adapters whose rendezvous order and demand are kept in memory
 */
public record RouterSettings(RoutingWeights weights, Optional<FailureDomain> failureDomain, int rememberedAdapters) {

    /** The default maximum number of adapters kept in memory. */
    public static final int DEFAULT_REMEMBERED_ADAPTERS = 32_768;

    public RouterSettings {
        Objects.requireNonNull(weights, "weights");
        Objects.requireNonNull(failureDomain, "failureDomain");
        if (rememberedAdapters < 1) {
            throw new IllegalArgumentException("rememberedAdapters below 1: " + rememberedAdapters);
        }
    }

    /**
     * Obtains settings with the given weights and no preferred failure domain.
     *
     * @param weights the cost weights, not null
     * @return the settings, not null
     */
    public static RouterSettings of(RoutingWeights weights) {
        return new RouterSettings(weights, Optional.empty(), DEFAULT_REMEMBERED_ADAPTERS);
    }

    public RouterSettings withFailureDomain(FailureDomain domain) {
        return new RouterSettings(weights, Optional.of(domain), rememberedAdapters);
    }
}
