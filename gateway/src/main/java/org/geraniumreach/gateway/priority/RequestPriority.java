package org.geraniumreach.gateway.priority;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AccountId;

/**
 * What the order of a request depends on besides its time.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param urgency the urgency, 0 (most urgent) to {@value #LEAST_URGENT}
 * @param account the account that asks, empty if unknown; requests without account share one usage
 * @param accountWeight the configured rate of the account; a value that is not above 0 or not finite counts as the mean
 */
public record RequestPriority(int urgency, Optional<AccountId> account, double accountWeight) {

    /** The number of the least urgent class. */
    public static final int LEAST_URGENT = 9;

    public RequestPriority {
        Objects.requireNonNull(account, "account");
        if (urgency < 0 || urgency > LEAST_URGENT) {
            throw new IllegalArgumentException("urgency not within 0 to " + LEAST_URGENT + ": " + urgency);
        }
    }
}
