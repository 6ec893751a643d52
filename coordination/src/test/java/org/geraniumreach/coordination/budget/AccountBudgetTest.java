package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

import org.geraniumreach.model.AccountId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AccountBudgetTest {

    private static final Duration MAX_WAIT = Duration.ofSeconds(2);
    private static final Duration SCAN_INTERVAL = Duration.ofSeconds(2);
    private static final Duration DEADLINE = Duration.ofSeconds(60);

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
                Duration.ofSeconds(2),
                Duration.ofMillis(100),
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
}
