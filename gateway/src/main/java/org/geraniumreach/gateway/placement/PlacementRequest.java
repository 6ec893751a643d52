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
 * @param minimumVersion the least version of the adapter that may run, 0 for any
 * @param newestVersion the version that is to be loaded, 0 for any
 * @param affinityKey what requests have in common that are better off at the same target, empty for none
 * @param promptTokens the tokens to be read first
 * @param objective within which the first part is wanted
 * @param mayBeDeferred whether it may be held back for a moment, so that prompts do not reach a target in a clump
 * @param loadingTargets the targets that were asked for a load and may still be in time with it
 * @param slowLoadingTargets the targets at which a load was waited for in vain
 * @param saturatedTargets the targets that have too much to read for it
 * @param excludedTargets the targets not to be used
 */
public record PlacementRequest(
        String service,
        Optional<String> model,
        Optional<AdapterName> adapter,
        long minimumVersion,
        long newestVersion,
        String affinityKey,
        long promptTokens,
        Duration objective,
        boolean mayBeDeferred,
        Set<TargetId> loadingTargets,
        Set<TargetId> slowLoadingTargets,
        Set<TargetId> saturatedTargets,
        Set<TargetId> excludedTargets) {

    public PlacementRequest {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(affinityKey, "affinityKey");
        Objects.requireNonNull(objective, "objective");
        loadingTargets = Set.copyOf(loadingTargets);
        slowLoadingTargets = Set.copyOf(slowLoadingTargets);
        saturatedTargets = Set.copyOf(saturatedTargets);
        excludedTargets = Set.copyOf(excludedTargets);
    }
}
