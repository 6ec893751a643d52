package org.geraniumreach.gateway.speed;

import org.geraniumreach.gateway.placement.Target;

/**
 * Receives the paces of streams.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface PaceObserver {

    /**
     * Called when a stream with enough events has ended.
     *
     * @param target the target, not null
     * @param sample the pace of the stream, not null
     */
    void onStream(Target target, PaceSample sample);

    /**
     * Obtains an observer that ignores all streams.
     *
     * @return the observer, not null
     */
    static PaceObserver none() {
        return (target, sample) -> {};
    }
}
