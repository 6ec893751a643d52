package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.table.RowKey;

/**
 * What an entry that is short of budget asks of another one.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number the request's number at the asker
 * @param account the client account
 * @param tokens the tokens wanted at once
 * @param parts the parts of the share wanted for the time of the loan
 * @param duration how long the loan lasts
 * @param demand the tokens a second that the asker's callers ask for
 * @param heldParts the parts that the asker holds itself
 * @param holder the asker's row in the table service, to which parts may be handed over; empty if there is none yet
 */
public record LoanWish(
        long number,
        AccountId account,
        long tokens,
        long parts,
        Duration duration,
        long demand,
        long heldParts,
        Optional<RowKey> holder) {

    public LoanWish {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(duration, "duration");
        Objects.requireNonNull(holder, "holder");
    }
}
