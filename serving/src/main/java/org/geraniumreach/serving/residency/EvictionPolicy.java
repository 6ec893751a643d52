package org.geraniumreach.serving.residency;

/** The ways of choosing what to evict, by the names that settings use. */
public enum EvictionPolicy {
    /** The longest unused. */
    LEAST_RECENTLY_USED {
        @Override
        double retentionValue(EvictionCandidate slot) {
            return -slot.idleNanos();
        }
    },
    /** The one whose loss costs least: by how often it is used, how lately, and how long it takes to load again. */
    LEAST_WORTH {
        @Override
        double retentionValue(EvictionCandidate slot) {
            return slot.uses() * slot.loadNanos();
        }
    };

    /**
     * Works out what a slot is worth; the one worth least goes.
     *
     * @param slot the slot
     * @return its worth
     */
    abstract double retentionValue(EvictionCandidate slot);
}
