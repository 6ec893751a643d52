package org.geraniumreach.serving.queue;

/** The policies for ordering waiting requests. Settings use the names of the constants. */
public enum QueuePolicy {
    /** In order of arrival. */
    FIRST_COME,
    /** Fair queueing over client accounts, by tokens. */
    FAIR;

    <T> RequestScheduler<T> createScheduler(QueueWeights weights) {
        return switch (this) {
            case FIRST_COME -> new FirstComeScheduler<>();
            case FAIR -> new FairScheduler<>(weights);
        };
    }
}
