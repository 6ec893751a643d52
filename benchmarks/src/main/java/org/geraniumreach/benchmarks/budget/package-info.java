/**
 * Trials of the budget core in virtual time: how many requests are refused that one central bucket would have admitted.
 *
 * <p>Run {@link org.geraniumreach.benchmarks.budget.BudgetTrialMain}; its output is the only source of figures.
 */
package org.geraniumreach.benchmarks.budget;
