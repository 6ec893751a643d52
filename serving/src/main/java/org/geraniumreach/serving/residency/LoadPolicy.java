package org.geraniumreach.serving.residency;

/** The ways of choosing what to load next, by the names that settings use. */
public enum LoadPolicy {
    /** The one that was waited for first. */
    FIRST_COME {
        @Override
        double urgency(WaitingAdapter adapter) {
            return adapter.oldestNanos();
        }
    },
    /** The one whose waiters have waited longest together: many waiters go first, and no single one waits for ever. */
    WAITING_WORK {
        @Override
        double urgency(WaitingAdapter adapter) {
            return adapter.totalNanos();
        }
    };

    /**
     * Works out how urgent a load is; the most urgent goes first.
     *
     * @param adapter the adapter waited for
     * @return its urgency
     */
    abstract double urgency(WaitingAdapter adapter);
}
