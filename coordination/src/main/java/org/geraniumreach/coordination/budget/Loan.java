package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.model.AccountId;

/**
 * Tokens and parts of a share that one entry lends to another.
 *
 * <p>Invariant: the borrower measures the duration from before it sent the request, the lender from after it decided,
 * so they never hold the loan at the same time, however late the answer arrives. Immutable and safe for use by several
 * threads.
 *
 * @param number the number of the request that this loan answers
 * @param account the client account
 * @param tokens the tokens lent
 * @param parts the parts of the share lent
 * @param duration the duration of the loan
 */
public record Loan(long number, AccountId account, long tokens, long parts, Duration duration) {

    public Loan {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(duration, "duration");
        ShareParts.requireValid(parts);
        if (tokens < 0) {
            throw new IllegalArgumentException("negative tokens lent: " + tokens);
        }
    }
}
