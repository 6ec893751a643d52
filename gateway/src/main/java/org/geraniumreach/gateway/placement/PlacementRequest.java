package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.TargetId;

/**
 * The requirements of a request for its target.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param service the service
 * @param model the base model, empty for a plain service
 * @param adapter the adapter, empty for the base model alone
 * @param minimumVersion the lowest adapter version that may be used, 0 for any
 * @param newestVersion the adapter version to load, 0 for any
 * @param olderVersionsLeft the time in which a request must begin at a version older than the newest, empty for any
 * @param affinityKey the key shared by requests that should go to the same target, empty for none
 * @param promptTokens the tokens of the prompt
 * @param objective the objective for the time to the first part
 * @param mayBeDeferred whether the request may be delayed briefly to avoid bursts of prompts at a target
 * @param loadingTargets the targets that were asked to load the adapter and may still do so in time
 * @param slowLoadingTargets the targets that declined the load or have not completed it in time
 * @param saturatedTargets the targets that refused the prompt because too many others are pending
 * @param excludedTargets the targets that must not be used
 * @param versions the software versions that may run the request
 * @param permittedTarget the target that names a limit and for which the request has a permission, empty if it has none
 */
public record PlacementRequest(
        String service,
        Optional<String> model,
        Optional<AdapterName> adapter,
        long minimumVersion,
        long newestVersion,
        Optional<Duration> olderVersionsLeft,
        String affinityKey,
        long promptTokens,
        Duration objective,
        boolean mayBeDeferred,
        Set<TargetId> loadingTargets,
        Set<TargetId> slowLoadingTargets,
        Set<TargetId> saturatedTargets,
        Set<TargetId> excludedTargets,
        VersionRule versions,
        Optional<TargetId> permittedTarget) {

    public PlacementRequest {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(olderVersionsLeft, "olderVersionsLeft");
        Objects.requireNonNull(affinityKey, "affinityKey");
        Objects.requireNonNull(objective, "objective");
        loadingTargets = Set.copyOf(loadingTargets);
        slowLoadingTargets = Set.copyOf(slowLoadingTargets);
        saturatedTargets = Set.copyOf(saturatedTargets);
        excludedTargets = Set.copyOf(excludedTargets);
        Objects.requireNonNull(versions, "versions");
        Objects.requireNonNull(permittedTarget, "permittedTarget");
    }
}
