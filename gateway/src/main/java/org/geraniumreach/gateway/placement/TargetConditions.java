package org.geraniumreach.gateway.placement;

import java.util.Objects;
import java.util.function.Function;
import java.util.function.Predicate;

import org.geraniumreach.gateway.evacuation.Evacuations;
import org.geraniumreach.model.FailureDomain;

/**
 * What others than the target itself say of its use.
 *
 * <p>The functions are called on the event loop.
 *
 * @param healthy whether it is not left out after failures; if all are, none is
 * @param loadable whether somebody can have adapters loaded there now
 * @param evacuationPhase what may be sent to a failure domain
 * @param withinColdLimit whether one more request may be sent, as far as it must warm up
 */
public record TargetConditions(
        Predicate<Target> healthy,
        Predicate<Target> loadable,
        Function<FailureDomain, Evacuations.Phase> evacuationPhase,
        Predicate<Target> withinColdLimit) {

    public TargetConditions {
        Objects.requireNonNull(healthy, "healthy");
        Objects.requireNonNull(loadable, "loadable");
        Objects.requireNonNull(evacuationPhase, "evacuationPhase");
        Objects.requireNonNull(withinColdLimit, "withinColdLimit");
    }

    /**
     * Obtains conditions under which all targets may be used.
     *
     * @return the conditions, not null
     */
    public static TargetConditions unrestricted() {
        return new TargetConditions(target -> true, target -> true, domain -> Evacuations.Phase.IN_USE, target -> true);
    }

    boolean isEvacuated(Target target) {
        return phase(target) == Evacuations.Phase.EMPTY;
    }

    boolean isInUse(Target target) {
        return phase(target) == Evacuations.Phase.IN_USE;
    }

    boolean canLoad(Target target) {
        return isInUse(target) && loadable.test(target);
    }

    private Evacuations.Phase phase(Target target) {
        return evacuationPhase.apply(target.description().failureDomain());
    }
}
