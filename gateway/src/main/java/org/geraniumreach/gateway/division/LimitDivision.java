package org.geraniumreach.gateway.division;

/**
 * Divides a limit on what all entries together do within a window among the entries.
 *
 * <p>Contract: the shares of all entries add up to no more than the limit as long as all of them know the same entries. Confined to the event
 * loop.
 */
@FunctionalInterface
public interface LimitDivision {

    /**
     * Returns this entry's share.
     *
     * @param key identifies what is limited, such as the id of a target or the name of a service, not null
     * @param limit the number that all entries together may use in a window, not negative
     * @return the number that this entry may use in a window, not negative
     */
    int share(String key, int limit);
}
