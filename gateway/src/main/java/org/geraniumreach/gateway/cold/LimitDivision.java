package org.geraniumreach.gateway.cold;

import org.geraniumreach.model.TargetId;

/**
 * Divides the limit on requests to a target within a window among the entries.
 *
 * <p>Contract: the shares of all entries add up to no more than the limit as long as all of them know the same entries. Confined to the event
 * loop.
 */
@FunctionalInterface
public interface LimitDivision {

    /**
     * Returns this entry's share.
     *
     * @param target the target, not null
     * @param limit the requests that all entries together may send in a window, not negative
     * @return the requests that this entry may send in a window, not negative
     */
    int share(TargetId target, int limit);
}
