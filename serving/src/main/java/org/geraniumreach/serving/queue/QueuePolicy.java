package org.geraniumreach.serving.queue;

/** The orders of waiting requests, by the names that settings use. */
public enum QueuePolicy {
    /** In order of arrival. */
    FIRST_COME,
    /** Fair over client accounts, by tokens. */
    FAIR;

    <T> RequestScheduler<T> createScheduler(QueueWeights weights) {
        return switch (this) {
            case FIRST_COME -> new FirstComeScheduler<>();
            case FAIR -> new FairScheduler<>(weights);
        };
    }
}
