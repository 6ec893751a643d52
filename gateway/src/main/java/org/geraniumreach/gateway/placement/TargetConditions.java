package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.Predicate;

import org.geraniumreach.gateway.evacuation.Evacuations;
import org.geraniumreach.model.FailureDomain;

/**
 * Restrictions on the use of targets that do not come from the targets themselves.
 *
 * <p>The functions are called on the event loop.
 *
 * @param healthy whether a target is not ejected after failures; ignored if all targets are ejected
 * @param loadable whether an entry can order adapter loads at a target at the moment
 * @param evacuationPhase the evacuation phase of a failure domain
 * @param withinColdLimit whether a target that may be warming up can take one more request
 * @param restTime the time for which a target wants nothing from this entry, zero if it may be called
 * @param limitWait the time until a target's limit may leave another request for this entry, zero if it may now
 * @param limited whether a target names a limit on its requests
 */
public record TargetConditions(
        Predicate<Target> healthy,
        Predicate<Target> loadable,
        Function<FailureDomain, Evacuations.Phase> evacuationPhase,
        Predicate<Target> withinColdLimit,
        Function<Target, Duration> restTime,
        Function<Target, Duration> limitWait,
        Predicate<Target> limited) {

    public TargetConditions {
        Objects.requireNonNull(healthy, "healthy");
        Objects.requireNonNull(loadable, "loadable");
        Objects.requireNonNull(evacuationPhase, "evacuationPhase");
        Objects.requireNonNull(withinColdLimit, "withinColdLimit");
        Objects.requireNonNull(restTime, "restTime");
        Objects.requireNonNull(limitWait, "limitWait");
        Objects.requireNonNull(limited, "limited");
    }

    /**
     * Obtains conditions that restrict nothing.
     *
     * @return the conditions, not null
     */
    public static TargetConditions unrestricted() {
        return new TargetConditions(
                target -> true,
                target -> true,
                domain -> Evacuations.Phase.IN_USE,
                target -> true,
                target -> Duration.ZERO,
                target -> Duration.ZERO,
                target -> false);
    }

    boolean isEvacuated(Target target) {
        return phase(target) == Evacuations.Phase.DRAINED;
    }

    boolean isInUse(Target target) {
        return phase(target) == Evacuations.Phase.IN_USE;
    }

    boolean canLoad(Target target) {
        return isInUse(target) && loadable.test(target);
    }

    boolean isResting(Target target) {
        return !restTime.apply(target).isZero();
    }

    boolean isWithinLimit(Target target) {
        return limitWait.apply(target).isZero();
    }

    Duration timeUntilAvailable(Target target) {
        Duration rest = restTime.apply(target);
        Duration wait = limitWait.apply(target);
        return rest.compareTo(wait) > 0 ? rest : wait;
    }

    private Evacuations.Phase phase(Target target) {
        return evacuationPhase.apply(target.description().failureDomain());
    }
}
