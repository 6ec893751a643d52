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
 * What the calls of one entry share.
 *
 * <p>Immutable; each part is safe for use by several threads.
 *
 * @param authorizer checks who sent a call
 * @param budget the client accounts' budgets
 * @param ledger the requests that may run once only
 * @param fleet the targets
 * @param attempts sends to companions
 * @param activeCalls the calls that are running
 * @param retryPolicy decides on further tries
 * @param retryBudget bounds further tries
 * @param metrics the meters
 * @param limits what a request may ask for
 * @param clock elapsed time
 * @param random the source of attempt ids
 * @param timer runs what waits; its tasks do not block
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
