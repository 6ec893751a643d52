package org.geraniumreach.gateway.speed;

import org.geraniumreach.gateway.placement.Target;

/**
 * Estimates the speeds of targets.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface TargetSpeeds {

    /**
     * Estimates the speed of a target.
     *
     * @param target the target, not null
     * @return the speed, {@link TargetSpeed#UNKNOWN} without observations, not null
     */
    TargetSpeed speedOf(Target target);

    /**
     * Estimates the relative rate of a target, which costs less than its whole speed.
     *
     * @param target the target, not null
     * @return the relative rate, above 0, 1 without observations
     */
    default double relativeRateOf(Target target) {
        return speedOf(target).relativeRate();
    }

    /**
     * Obtains estimates that treat all targets as equally fast.
     *
     * @return the estimates, not null
     */
    static TargetSpeeds uniform() {
        return target -> TargetSpeed.UNKNOWN;
    }
}
