package org.geraniumreach.serving.routing;

import org.geraniumreach.model.TargetId;

/**
 * Excludes targets from routing, such as those that failed recently.
 *
 * <p>Contract: safe for use by several threads and fast, since it is called for each candidate.
 */
@FunctionalInterface
public interface TargetFilter {

    /**
     * Returns whether a request may be sent to a target now.
     *
     * @param target the target, not null
     * @return true if it may be sent
     */
    boolean admits(TargetId target);

    /**
     * Obtains a filter that admits all targets.
     *
     * @return the filter, not null
     */
    static TargetFilter all() {
        return target -> true;
    }
}
