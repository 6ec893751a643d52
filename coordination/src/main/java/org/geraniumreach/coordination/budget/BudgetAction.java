package org.geraniumreach.coordination.budget;

import java.time.Duration;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.table.RowKey;

/**
 * An action that an {@link AccountBudget} asks its caller to carry out.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface BudgetAction {

    /**
     * Admits a request.
     *
     * @param ticket the number passed with the request
     * @param grant the reserved tokens, to be settled when the request ends
     */
    record Granted(long ticket, Grant grant) implements BudgetAction {}

    /**
     * Refuses a request.
     *
     * @param ticket the number passed with the request
     * @param code the reason
     * @param retryAfter the delay after which budget is expected to be available
     */
    record Refused(long ticket, ResultCode code, Duration retryAfter) implements BudgetAction {}

    /**
     * Asks another entry for a loan.
     *
     * @param peer the entry
     * @param request the request to send
     */
    record RequestLoan(InstanceId peer, BorrowRequest request) implements BudgetAction {}

    /**
     * Answers another entry's request for a loan.
     *
     * @param peer the entry
     * @param loan the loan, which may have no tokens and no parts
     */
    record AnswerLoanRequest(InstanceId peer, Loan loan) implements BudgetAction {}

    /**
     * Hands over parts of the share permanently, by a transaction.
     *
     * @param account the client account
     * @param recipientRow the other entry's row
     * @param parts the parts to hand over
     */
    record HandOver(AccountId account, RowKey recipientRow, long parts) implements BudgetAction {}
}
