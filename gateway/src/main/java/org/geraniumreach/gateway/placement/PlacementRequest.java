package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.TargetId;

/**
 * What a request needs of a target.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param service the service that is to run it
 * @param model the base model, empty for a plain service
 * @param adapter the adapter, empty for the base model alone
 * @param leastVersion the least version of the adapter that may run, 0 for any
 * @param newestVersion the version that is to be loaded, 0 for any
 * @param affinity what requests have in common that are better off at the same target, empty for none
 * @param promptTokens the tokens to be read first
 * @param objective within which the first part is wanted
 * @param mayWait whether it may be held back for a moment, so that prompts do not reach a target in a clump
 * @param loaders the targets that were asked for a load and may still be in time with it
 * @param slowLoaders the targets at which a load was waited for in vain
 * @param saturated the targets that have too much to read for it
 * @param excluded the targets not to be used
 */
public record PlacementRequest(
        String service,
        Optional<String> model,
        Optional<AdapterName> adapter,
        long leastVersion,
        long newestVersion,
        String affinity,
        long promptTokens,
        Duration objective,
        boolean mayWait,
        Set<TargetId> loaders,
        Set<TargetId> slowLoaders,
        Set<TargetId> saturated,
        Set<TargetId> excluded) {

    public PlacementRequest {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(affinity, "affinity");
        Objects.requireNonNull(objective, "objective");
        loaders = Set.copyOf(loaders);
        slowLoaders = Set.copyOf(slowLoaders);
        saturated = Set.copyOf(saturated);
        excluded = Set.copyOf(excluded);
    }
}
