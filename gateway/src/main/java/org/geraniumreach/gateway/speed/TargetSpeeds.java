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
     * Obtains estimates that treat all targets as equally fast.
     *
     * @return the estimates, not null
     */
    static TargetSpeeds uniform() {
        return target -> TargetSpeed.UNKNOWN;
    }
}
