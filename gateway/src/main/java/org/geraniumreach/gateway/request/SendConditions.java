package org.geraniumreach.gateway.request;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.placement.Placement;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.store.RowFreshness;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * Whether a target that was selected for a request may still be sent it, as of the moment at which that is asked.
 *
 * <p>Invariant: whatever forbids a write here forbids at the same moment that the request is placed at the target, so that a request that
 * is placed again comes to another target, or waits. Confined to the event loop.
 */
final class SendConditions {

    private final Placement placement;
    private final AdapterLoader adapters;
    private final RowFreshness rows;
    private final Optional<AdapterName> adapter;

    /**
     * Creates the conditions of a request.
     *
     * @param placement queries the state of targets, not null
     * @param adapters knows the versions of adapters, not null
     * @param rows decides whether what is known of the targets and versions may be acted on, not null
     * @param adapter the adapter of the request, empty for none, not null
     */
    SendConditions(Placement placement, AdapterLoader adapters, RowFreshness rows, Optional<AdapterName> adapter) {
        this.placement = Objects.requireNonNull(placement, "placement");
        this.adapters = Objects.requireNonNull(adapters, "adapters");
        this.rows = Objects.requireNonNull(rows, "rows");
        this.adapter = Objects.requireNonNull(adapter, "adapter");
    }

    /** Queries whether a request that has waited for its turn or a permission may still be sent to its target. */
    boolean isSendable(Target target) {
        return placement.isSendable(target) && findObstacle(target).isEmpty();
    }

    /** Finds what forbids that the request is written to its target, whose connection is open. */
    Optional<WriteDecision.Result> findObstacle(Target target) {
        if (!target.acceptsRequests()) {
            return Optional.of(WriteDecision.Result.TARGET_LEAVING);
        }
        if (rows.timeUntilNextCheck().isPresent()) {
            return Optional.of(WriteDecision.Result.ROWS_OUTDATED);
        }
        return adapter.filter(required -> !target.holds(required, adapters.minimumVersion(required)))
                .map(required -> target.residentVersion(required).isPresent()
                        ? WriteDecision.Result.VERSION_OUTDATED
                        : WriteDecision.Result.ADAPTER_ABSENT);
    }
}
