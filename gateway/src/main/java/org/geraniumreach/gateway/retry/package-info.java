/**
 * Decides whether a request may be sent once more, so that all entries together keep to the retries that a service allows.
 *
 * <p>Use: create one {@link org.geraniumreach.gateway.retry.RetryBudgets} for each process, record every request that is received and every
 * retry that is sent, and ask before each retry.
 */
package org.geraniumreach.gateway.retry;
