package org.geraniumreach.coordination.budget;

import java.util.List;
import java.util.OptionalLong;

/**
 * The result of one event: the actions to carry out and the time of the next wake-up.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param actions the actions to carry out, in order
 * @param wakeAt the clock time by which {@link AccountBudget#wake} must be called; empty if the event requires none
 */
public record BudgetStep(List<BudgetAction> actions, OptionalLong wakeAt) {

    public BudgetStep {
        actions = List.copyOf(actions);
    }
}
