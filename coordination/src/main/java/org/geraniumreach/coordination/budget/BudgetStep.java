package org.geraniumreach.coordination.budget;

import java.util.List;
import java.util.OptionalLong;

/**
 * What came of one event.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param actions what is to be done, in order
 * @param wakeAt when {@link AccountBudget#wake} is to be called at the latest, by the clock
 */
public record BudgetStep(List<BudgetAction> actions, OptionalLong wakeAt) {

    public BudgetStep {
        actions = List.copyOf(actions);
    }
}
