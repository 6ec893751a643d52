/**
 * Simulations of the shared token budget in virtual time. They count the requests that are refused although one central
 * token bucket would have admitted them.
 *
 * <p>Run {@link org.geraniumreach.benchmarks.budget.BudgetTrialMain}; its output is the only source of figures.
 */
package org.geraniumreach.benchmarks.budget;
