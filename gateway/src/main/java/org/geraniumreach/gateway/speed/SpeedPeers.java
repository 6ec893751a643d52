package org.geraniumreach.gateway.speed;

import org.geraniumreach.gateway.placement.Target;

/**
 * Sends what is known of the speeds of targets to the other entries.
 *
 * <p>Confined to the event loop.
 */
public interface SpeedPeers {

    /** Reaches no entry. */
    SpeedPeers UNREACHABLE = new SpeedPeers() {
        @Override
        public boolean sendReport(String owner, Target target, SpeedReport report) {
            return false;
        }

        @Override
        public void publish(Target target, double relativeRate) {
            // No entry can be reached.
        }
    };

    /**
     * Sends observations to the owner of a target.
     *
     * @param owner the entry that owns the target, not null
     * @param target the target, not null
     * @param report the observations, not null
     * @return false if the entry cannot be reached
     */
    boolean sendReport(String owner, Target target, SpeedReport report);

    /**
     * Sends the relative rate of a target of this entry to all entries that can be reached.
     *
     * @param target the target, not null
     * @param relativeRate the rate relative to the mean of the service, above 0
     */
    void publish(Target target, double relativeRate);
}
