/**
 * Whether to try again, and which targets to leave out for a while.
 *
 * <p>Use: one {@link org.geraniumreach.serving.retry.RetryBudget} and one {@link
 * org.geraniumreach.serving.retry.RetryPolicy} for an entry; call {@code succeeded} on the budget for each request that
 * succeeds, and ask the policy after each failed try. One {@link org.geraniumreach.serving.retry.TargetHealth}: {@code
 * add} targets that join, {@code forget} those that leave, tell it of each answer and failure, and give {@code
 * health::admits} to the router as its filter.
 */
package org.geraniumreach.serving.retry;
