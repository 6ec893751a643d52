package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.table.RowKey;

/**
 * A request for a loan that an entry short of budget sends to another entry.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number the number of the request at the requesting entry
 * @param account the client account
 * @param tokens the tokens requested for immediate use
 * @param parts the parts of the share requested for the duration of the loan
 * @param duration the duration of the loan
 * @param tokensPerSecondDemanded the demand of the requesting entry's callers in tokens per second
 * @param heldParts the parts that the requesting entry holds itself
 * @param holderRow the requesting entry's row in the table service, to which parts may be handed over; empty if it has no
 *     row yet
 */
public record BorrowRequest(
        long number,
        AccountId account,
        long tokens,
        long parts,
        Duration duration,
        long tokensPerSecondDemanded,
        long heldParts,
        Optional<RowKey> holderRow) {

    public BorrowRequest {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(duration, "duration");
        Objects.requireNonNull(holderRow, "holderRow");
    }
}
