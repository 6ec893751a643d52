package org.geraniumreach.serving.routing;

import org.geraniumreach.model.TargetId;

/**
 * Holds targets back from a router, such as those that lately failed.
 *
 * <p>Contract: safe for use by several threads and fast, since it is asked for each candidate.
 */
@FunctionalInterface
public interface TargetFilter {

    /**
     * Queries whether a request may be sent to a target now.
     *
     * @param target the target, not null
     * @return true if it may
     */
    boolean admits(TargetId target);

    /**
     * Obtains a filter that holds nothing back.
     *
     * @return the filter, not null
     */
    static TargetFilter all() {
        return target -> true;
    }
}
