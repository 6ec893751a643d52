package org.geraniumreach.gateway.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

import org.geraniumreach.serving.retry.RetryBudget;

/**
 * The retry budgets of all services.
 *
 * <p>Confined to the event loop.
 */
public final class RetryBudgets {

    private final Supplier<RetryBudget> budgetFactory;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates an empty set of budgets.
     *
     * @param budgetFactory creates the budget of a service, not null
     */
    public RetryBudgets(Supplier<RetryBudget> budgetFactory) {
        this.budgetFactory = Objects.requireNonNull(budgetFactory, "budgetFactory");
    }

    private RetryBudget budgetOf(String service) {
        return budgets.computeIfAbsent(service, missing -> budgetFactory.get());
    }

    /**
     * Records a caller's request, which adds a fraction of a retry to the budget.
     *
     * @param service the service, not null
     */
    public void recordRequest(String service) {
        budgetOf(service).onSuccess();
    }

    /**
     * Takes one retry from the budget of a service.
     *
     * @param service the service, not null
     * @return true if the retry is granted
     */
    public boolean tryRetry(String service) {
        return budgetOf(service).tryAcquire();
    }
}
