package org.geraniumreach.gateway.store;

/**
 * Passes readings of the store on within a failure domain.
 *
 * <p>Confined to the event loop.
 */
public interface FeedRelay {

    /**
     * Queries whether this entry is one of those that read the store for its failure domain now.
     *
     * @return true if it is
     */
    boolean isReader();

    /**
     * Tells the other entries of the failure domain. Updates may be lost; who misses one reads the store itself.
     *
     * @param update the update, not null
     */
    void publish(FeedUpdate update);
}
