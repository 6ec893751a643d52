package org.geraniumreach.serving.residency;

import java.util.Comparator;

/** The ways of choosing what to load next, by the names that settings use. */
public enum LoadPolicy {
    /** The one that was waited for first. */
    FIRST_COME {
        @Override
        LoadScheduler createScheduler() {
            return LoadScheduler.mostUrgentFirst(Comparator.comparingLong(AwaitedAdapter::longestWaitNanos));
        }
    },
    /** The one whose waiters have waited longest together: many waiters go first, and no single one waits for ever. */
    WAITING_WORK {
        @Override
        LoadScheduler createScheduler() {
            return LoadScheduler.mostUrgentFirst(Comparator.comparingLong(AwaitedAdapter::totalWaitNanos));
        }
    },
    /** Fair over client accounts; for the account whose turn it is, as by waiting work. */
    FAIR {
        @Override
        LoadScheduler createScheduler() {
            return LoadScheduler.fair();
        }
    };

    /**
     * Makes the choice of one companion.
     *
     * @return the choice
     */
    abstract LoadScheduler createScheduler();
}
