/**
 * Retries and the temporary ejection of failing targets.
 *
 * <p>Use: create one {@link org.geraniumreach.serving.retry.RetryBudget} and one {@link
 * org.geraniumreach.serving.retry.RetryPolicy} for each entry; report each successful request to the budget, and call
 * {@code decide} on the policy after each failed attempt. Create one {@link
 * org.geraniumreach.serving.retry.TargetHealth}, add and remove targets as they join and leave, report each answer and
 * failure to it, and pass {@code health::admits} to the router as its filter.
 */
package org.geraniumreach.serving.retry;
