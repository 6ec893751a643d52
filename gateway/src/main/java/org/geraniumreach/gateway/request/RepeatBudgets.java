package org.geraniumreach.gateway.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

import org.geraniumreach.serving.retry.RetryBudget;

/**
 * A budget of second arrivals for each service.
 *
 * <p>Confined to the event loop.
 */
public final class RepeatBudgets {

    private final Supplier<RetryBudget> budgetFactory;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Makes budgets.
     *
     * @param maker makes the budget of a service, not null
     */
    public RepeatBudgets(Supplier<RetryBudget> maker) {
        this.budgetFactory = Objects.requireNonNull(maker, "maker");
    }

    private RetryBudget budgetOf(String service) {
        return budgets.computeIfAbsent(service, missing -> budgetFactory.get());
    }

    /**
     * Notes a caller's request, which earns a part of a repeat.
     *
     * @param service the service, not null
     */
    public void recordRequest(String service) {
        budgetOf(service).succeeded();
    }

    /**
     * Asks for a second arrival.
     *
     * @param service the service, not null
     * @return true if it is granted, and spent
     */
    public boolean tryRetry(String service) {
        return budgetOf(service).tryRetry();
    }
}
