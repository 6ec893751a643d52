package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.InstanceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AccountBudgetTest {

    private static final Duration MAX_WAIT = Duration.ofSeconds(2);
    private static final Duration SCAN_INTERVAL = Duration.ofSeconds(2);
    private static final Duration DEADLINE = Duration.ofSeconds(60);
    private static final Duration LOAN_DURATION = Duration.ofSeconds(2);
    private static final Duration LOAN_ANSWER_LIMIT = Duration.ofMillis(100);
    private static final InstanceId LENDER = InstanceId.of("lender");

    private final AtomicLong now = new AtomicLong(1_000_000);
    private AccountBudget budget;

    @BeforeEach
    void createBudget() {
        BudgetPolicy policy = new BudgetPolicy(
                SharingPolicy.byDemand(),
                Duration.ofSeconds(5),
                Duration.ofSeconds(12),
                Duration.ofSeconds(3),
                Duration.ofSeconds(24),
                LOAN_DURATION,
                LOAN_ANSWER_LIMIT,
                MAX_WAIT,
                SCAN_INTERVAL,
                500);
        LeaseValidity leaseValidity = new LeaseValidity(Duration.ofSeconds(12).toNanos());
        leaseValidity.onListed(now.get(), now.get());
        leaseValidity.onRenewed(now.get());
        budget = new AccountBudget(AccountId.of("a"), policy, leaseValidity, now::get, new Random(1));
        budget.setRate(1_000, 1_000);
    }

    @Test
    void requestBeforeTheFirstShareWaitsAndIsGranted() {
        // A new entry does not hold a share until its claim has completed. Refusing the request in the meantime would
        // be wrong, since the account is within its rate.
        assertThat(budget.reserve(1, 10, DEADLINE).actions()).isEmpty();
        now.addAndGet(Duration.ofMillis(300).toNanos());
        List<BudgetAction> actions = budget.setOwnParts(ShareParts.WHOLE, true).actions();
        assertThat(actions).singleElement().isInstanceOf(BudgetAction.Granted.class);
    }

    @Test
    void requestWithoutAShareIsRefusedWithARetryDelayOfAtLeastOneScan() {
        assertThat(budget.reserve(1, 10, DEADLINE).actions()).isEmpty();
        now.addAndGet(MAX_WAIT.toNanos());
        List<BudgetAction> actions = budget.wake().actions();
        assertThat(actions).singleElement().isInstanceOfSatisfying(BudgetAction.Refused.class, refused -> assertThat(
                        refused.retryAfter())
                .isGreaterThanOrEqualTo(SCAN_INTERVAL));
    }

    @Test
    void requestAfterLossOfTheShareIsRefusedImmediately() {
        budget.setOwnParts(ShareParts.WHOLE, true);
        budget.setOwnParts(0, false);
        assertThat(budget.reserve(1, 10, DEADLINE).actions()).singleElement().isInstanceOf(BudgetAction.Refused.class);
    }

    // On a busy machine an entry answers a loan request only after the answer limit. Refusing the waiting requests at
    // that
    // time would be wrong, since the account is within its rate, and the lent tokens would be lost to both entries.
    @Test
    void requestIsGrantedFromALoanThatIsAnsweredAfterTheAnswerLimit() {
        BorrowRequest request = requestLoan(LENDER);
        now.addAndGet(2 * LOAN_ANSWER_LIMIT.toNanos());
        assertThat(budget.wake().actions()).isEmpty();
        now.addAndGet(LOAN_ANSWER_LIMIT.toNanos());
        assertThat(budget.onLoanAnswered(LENDER, loanFor(request)).actions())
                .singleElement()
                .isInstanceOf(BudgetAction.Granted.class);
    }

    @Test
    void requestOfALenderThatNeverAnswersIsRefusedAfterTheLongestWait() {
        requestLoan(LENDER);
        now.addAndGet(MAX_WAIT.toNanos());
        assertThat(budget.wake().actions()).singleElement().isInstanceOf(BudgetAction.Refused.class);
    }

    @Test
    void requestIsRefusedWhenTheLinkToTheOnlyLenderCloses() {
        // Without a link no answer can arrive, so waiting on would only delay the refusal.
        requestLoan(LENDER);
        now.addAndGet(2 * LOAN_ANSWER_LIMIT.toNanos());
        assertThat(budget.wake().actions()).isEmpty();
        budget.setPeersAndHolderRow(List.of(), Optional.empty());
        assertThat(budget.wake().actions()).singleElement().isInstanceOf(BudgetAction.Refused.class);
    }

    @Test
    void lenderWithAnUnansweredRequestIsNotAskedAgain() {
        // Each further request would make a slow lender lend the same tokens once more.
        requestLoan(LENDER);
        for (int round = 1; round < MAX_WAIT.dividedBy(LOAN_ANSWER_LIMIT); round++) {
            now.addAndGet(LOAN_ANSWER_LIMIT.toNanos());
            assertThat(budget.wake().actions()).isEmpty();
        }
    }

    @Test
    void lateLoanIsAcceptedOnlyOnceAndOnlyFromTheEntryThatWasAsked() {
        BorrowRequest request = requestLoan(LENDER);
        now.addAndGet(2 * LOAN_ANSWER_LIMIT.toNanos());
        budget.onLoanAnswered(InstanceId.of("another"), loanFor(request));
        assertThat(budget.availableTokens()).isZero();
        budget.onLoanAnswered(LENDER, loanFor(request));
        long tokens = budget.availableTokens();
        budget.onLoanAnswered(LENDER, loanFor(request));
        assertThat(budget.availableTokens()).isEqualTo(tokens);
    }

    @Test
    void loanAnsweredAfterItsEndBringsNoTokens() {
        // The lender has reclaimed the loan by then, so its tokens would be spent twice.
        BorrowRequest request = requestLoan(LENDER);
        now.addAndGet(LOAN_DURATION.toNanos());
        budget.onLoanAnswered(LENDER, loanFor(request));
        assertThat(budget.availableTokens()).isZero();
    }

    /** Reserves tokens without a share, when the first claim no longer delays refusals, and returns the request for a loan. */
    private BorrowRequest requestLoan(InstanceId lender) {
        now.addAndGet(MAX_WAIT.toNanos());
        budget.setPeersAndHolderRow(List.of(lender), Optional.empty());
        List<BudgetAction> actions = budget.reserve(1, 10, DEADLINE).actions();
        assertThat(actions).singleElement().isInstanceOf(BudgetAction.RequestLoan.class);
        return ((BudgetAction.RequestLoan) actions.get(0)).request();
    }

    private static Loan loanFor(BorrowRequest request) {
        return new Loan(
                request.number(), request.account(), request.tokens(), ShareParts.WHOLE / 2, request.duration());
    }
}
