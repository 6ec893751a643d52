package org.geraniumreach.model.record;

import java.util.Optional;

import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.ServiceName;
import org.geraniumreach.model.TargetId;

/**
 * A back end: a model engine's worker or a plain service's worker.
 *
 * <p>Invariant: exactly one of base model and service is present. Immutable and safe for use by several threads.
 *
 * @param id the target
 * @param failureDomain where it is
 * @param baseModel the model that an engine runs
 * @param service the plain service that it offers
 * @param slots the adapters that an engine can hold at once, 0 for a plain service
 * @param checksFence whether it refuses orders that carry an old fence
 */
public record Target(
        TargetId id,
        FailureDomain failureDomain,
        Optional<String> baseModel,
        Optional<ServiceName> service,
        int slots,
        boolean checksFence) {}
