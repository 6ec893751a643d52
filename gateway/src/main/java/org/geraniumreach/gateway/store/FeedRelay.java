package org.geraniumreach.gateway.store;

/**
 * Distributes readings of the store within a failure domain.
 *
 * <p>Confined to the event loop.
 */
public interface FeedRelay {

    /**
     * Queries whether this entry currently reads the store for its failure domain.
     *
     * @return true if this entry is a reader
     */
    boolean isReader();

    /**
     * Sends an update to the other entries of the failure domain. Updates may be lost; an entry that misses one reads the
     * store itself.
     *
     * @param update the update, not null
     */
    void publish(FeedUpdate update);
}
