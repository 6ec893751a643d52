package org.geraniumreach.serving.residency;

/** The policies for choosing the adapter to evict. Settings use the names of the constants. */
public enum EvictionPolicy {
    /** Evicts the least recently used adapter. */
    LEAST_RECENTLY_USED {
        @Override
        double retentionValue(EvictionCandidate candidate) {
            return -candidate.idleNanos();
        }
    },
    /** Evicts the adapter that is cheapest to lose, by frequency and recency of use and by load time. */
    LEAST_WORTH {
        @Override
        double retentionValue(EvictionCandidate candidate) {
            return candidate.uses() * candidate.loadNanos();
        }
    };

    /**
     * Computes the value of keeping an adapter; the one with the lowest value is evicted.
     *
     * @param candidate the resident adapter
     * @return the value
     */
    abstract double retentionValue(EvictionCandidate candidate);
}
