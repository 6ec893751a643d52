package org.geraniumreach.daemon.entry;

import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;

import org.geraniumreach.daemon.budget.BudgetService;
import org.geraniumreach.daemon.ledger.LedgerService;
import org.geraniumreach.daemon.metrics.NodeMetrics;
import org.geraniumreach.link.Attempts;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.serving.retry.RetryBudget;
import org.geraniumreach.serving.retry.RetryPolicy;

/**
 * The services and settings that the calls of one entry share.
 *
 * <p>Immutable; each component is safe for use by several threads.
 *
 * @param authorizer authenticates callers and checks what they may use
 * @param budget the client accounts' budgets
 * @param ledger runs service operations at most once
 * @param fleet the targets that requests can be sent to
 * @param attempts sends requests to companions
 * @param activeCalls the running calls
 * @param retryPolicy decides whether and when a request is retried
 * @param retryBudget limits the rate of retries
 * @param metrics the meters
 * @param limits the limits of one request
 * @param clock the monotonic clock
 * @param random the source of attempt ids
 * @param timer runs delayed tasks, which must not block
 */
record EntryDependencies(
        RequestAuthorizer authorizer,
        BudgetService budget,
        LedgerService ledger,
        Fleet fleet,
        Attempts attempts,
        ActiveCalls activeCalls,
        RetryPolicy retryPolicy,
        RetryBudget retryBudget,
        NodeMetrics metrics,
        GenerationLimits limits,
        MonotonicClock clock,
        RandomGenerator random,
        ScheduledExecutorService timer) {}
