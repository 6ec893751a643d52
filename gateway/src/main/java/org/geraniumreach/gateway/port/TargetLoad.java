package org.geraniumreach.gateway.port;

import java.util.Optional;

/**
 * What an answer says of its target's load.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param figures the figures, empty if it says nothing
 */
public record TargetLoad(Optional<Figures> figures) {

    /**
     * The requests at a target.
     *
     * @param running those that run
     * @param waiting those that wait
     */
    public record Figures(int running, int waiting) {}
}
