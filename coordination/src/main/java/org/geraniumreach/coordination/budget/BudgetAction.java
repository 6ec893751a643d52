package org.geraniumreach.coordination.budget;

import java.time.Duration;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.table.RowKey;

/**
 * What an {@link AccountBudget} wants done.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface BudgetAction {

    /**
     * Let a request run.
     *
     * @param ticket the number that its caller gave it
     * @param grant to be settled at its end
     */
    record Granted(long ticket, Grant grant) implements BudgetAction {}

    /**
     * Refuse a request.
     *
     * @param ticket the number that its caller gave it
     * @param code why
     * @param retryAfter when the budget will be there
     */
    record Refused(long ticket, ResultCode code, Duration retryAfter) implements BudgetAction {}

    /**
     * Ask another entry for a loan.
     *
     * @param peer the entry
     * @param wish what to ask
     */
    record AskLoan(InstanceId peer, LoanWish wish) implements BudgetAction {}

    /**
     * Answer another entry that asked.
     *
     * @param peer the entry
     * @param loan what it gets, which may be nothing
     */
    record GiveLoan(InstanceId peer, Loan loan) implements BudgetAction {}

    /**
     * Hand a part of the share over, by a transaction.
     *
     * @param account the client account
     * @param recipientRow the other entry's row
     * @param parts the parts
     */
    record HandOver(AccountId account, RowKey recipientRow, long parts) implements BudgetAction {}
}
