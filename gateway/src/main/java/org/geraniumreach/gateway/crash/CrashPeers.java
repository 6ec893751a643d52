package org.geraniumreach.gateway.crash;

import java.util.List;

/**
 * Tells the other entries what this one knows of suspects.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface CrashPeers {

    /**
     * Sends updates to all connected entries.
     *
     * @param updates the updates, not null
     */
    void publish(List<SuspectUpdate> updates);
}
