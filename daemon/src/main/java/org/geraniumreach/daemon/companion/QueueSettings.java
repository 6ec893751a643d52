package org.geraniumreach.daemon.companion;

import org.geraniumreach.daemon.settings.Setting;
import org.geraniumreach.serving.queue.QueuePolicy;
import org.geraniumreach.serving.queue.QueueWeights;

/**
 * Settings of the queue of requests to a target.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param policy the queue policy
 * @param passedOverAtMost how many later requests of an account may overtake a ready one
 * @param accountSlackTokens by how many tokens an account may be served ahead of its fair turn
 * @param priorityStep the ratio of the weights of adjacent priorities
 * @param concurrency the concurrent requests to the target
 * @param limit the greatest number of waiting requests
 */
public record QueueSettings(
        @Setting(value = "fair", about = "The order: fair over client accounts, or first-come.") QueuePolicy policy,
        @Setting(
                        value = "16",
                        least = "0",
                        greatest = "100000",
                        about =
                                "How many later requests of an account may go before a ready one, to fill batches with few"
                                        + " adapters.")
                int passedOverAtMost,
        @Setting(
                        value = "2048",
                        least = "0",
                        about = "How far, in tokens, an account may run ahead of its turn for the same purpose.")
                long accountSlackTokens,
        @Setting(
                        value = "1.25",
                        least = "1",
                        greatest = "10",
                        about = "How many times more a priority weighs than the one below it.")
                double priorityStep,
        @Setting(value = "32", least = "1", greatest = "4096", about = "How many requests a target is given at once.")
                int concurrency,
        @Setting(value = "2000", least = "1", greatest = "1000000", about = "How many requests may wait.") int limit) {

    private static final int DEFAULT_CONCURRENCY = 32;
    private static final int DEFAULT_LIMIT = 2_000;

    /**
     * Obtains the defaults.
     *
     * @return the settings, not null
     */
    public static QueueSettings defaults() {
        QueueWeights weights = QueueWeights.fullBatches();
        return new QueueSettings(
                QueuePolicy.FAIR,
                weights.passedOverAtMost(),
                weights.accountSlackTokens(),
                weights.priorityStep(),
                DEFAULT_CONCURRENCY,
                DEFAULT_LIMIT);
    }

    QueueWeights toQueueWeights() {
        return new QueueWeights(passedOverAtMost, accountSlackTokens, priorityStep);
    }
}
