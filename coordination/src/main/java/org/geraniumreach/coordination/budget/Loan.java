package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.model.AccountId;

/**
 * What an entry lends to another one.
 *
 * <p>Invariant: the borrower counts the duration from before it asked, the lender from after it decided, so the two never
 * hold it at the same time, however late the answer comes. Immutable and safe for use by several threads.
 *
 * @param number the number of the request answered
 * @param account the client account
 * @param tokens the tokens lent
 * @param parts the parts of the share lent
 * @param duration how long
 */
public record Loan(long number, AccountId account, long tokens, long parts, Duration duration) {

    public Loan {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(duration, "duration");
        ShareParts.require(parts);
        if (tokens < 0) {
            throw new IllegalArgumentException("negative tokens lent: " + tokens);
        }
    }
}
