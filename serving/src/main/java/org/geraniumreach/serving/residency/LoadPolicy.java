package org.geraniumreach.serving.residency;

import java.util.Comparator;

/** The policies for choosing the next adapter to load. Settings use the names of the constants. */
public enum LoadPolicy {
    /** Loads the adapter whose first request has waited longest. */
    FIRST_COME {
        @Override
        LoadScheduler createScheduler() {
            return LoadScheduler.mostUrgentFirst(Comparator.comparingLong(AwaitedAdapter::longestWaitNanos));
        }
    },
    /** Loads the adapter whose requests have waited longest in total: many waiters go first, and none starves. */
    WAITING_WORK {
        @Override
        LoadScheduler createScheduler() {
            return LoadScheduler.mostUrgentFirst(Comparator.comparingLong(AwaitedAdapter::totalWaitNanos));
        }
    },
    /** Fair queueing over client accounts; within an account, the adapter with the longest total wait. */
    FAIR {
        @Override
        LoadScheduler createScheduler() {
            return LoadScheduler.fair();
        }
    };

    /**
     * Creates a scheduler for one companion.
     *
     * @return the scheduler
     */
    abstract LoadScheduler createScheduler();
}
