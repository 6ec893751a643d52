package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.model.AccountId;

/**
 * A request for the admission of a prompt to a target.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param urgency the urgency, 0 (most urgent) to {@value RequestPriority#LEAST_URGENT}
 * @param account the account that asks, empty if unknown; requests without account share one usage
 * @param accountWeight the configured rate of the account; a value that is not above 0 or not finite counts as the mean
 * @param promptTokens the number of tokens of the prompt; a negative number counts as 0
 * @param outputTokens the expected number of generated tokens, possibly far off; a negative number counts as 0
 * @param objectiveLeft the time left until the first event is late, negative if it is late already
 * @param maximumDelay the longest time that the request may wait for its admission, not negative
 */
public record AdmissionRequest(
        int urgency,
        Optional<AccountId> account,
        double accountWeight,
        long promptTokens,
        long outputTokens,
        Duration objectiveLeft,
        Duration maximumDelay) {

    public AdmissionRequest {
        Objects.requireNonNull(objectiveLeft, "objectiveLeft");
        Objects.requireNonNull(maximumDelay, "maximumDelay");
        new RequestPriority(urgency, account, accountWeight);
        if (maximumDelay.isNegative()) {
            throw new IllegalArgumentException("maximumDelay below zero: " + maximumDelay);
        }
        promptTokens = Math.max(0, promptTokens);
        outputTokens = Math.max(0, outputTokens);
    }

    /**
     * Obtains the priority of the request.
     *
     * @return the priority, not null
     */
    public RequestPriority priority() {
        return new RequestPriority(urgency, account, accountWeight);
    }
}
