package org.geraniumreach.model.record;

import java.util.Optional;

import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.ServiceName;
import org.geraniumreach.model.TargetId;

/**
 * A back end, which is a worker of a model engine or of a plain service.
 *
 * <p>Invariant: exactly one of {@code baseModel} and {@code service} is present. Immutable and safe for use by several threads.
 *
 * @param id the name of the target
 * @param failureDomain the failure domain of the target
 * @param baseModel the model that an engine runs
 * @param service the plain service that it provides
 * @param slots the number of adapters that an engine can hold, 0 for a plain service
 * @param checksFence whether the target refuses orders with an outdated fencing token
 */
public record Target(
        TargetId id,
        FailureDomain failureDomain,
        Optional<String> baseModel,
        Optional<ServiceName> service,
        int slots,
        boolean checksFence) {}
