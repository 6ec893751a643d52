/**
 * Decides whether a request may be sent once more, so that all entries together keep to the retries that a service allows.
 *
 * <p>The limit counts arrivals at targets, which may be later than the sending by any time. So a retry counts until a window after the moment from
 * which its request cannot arrive any more.
 *
 * <p>Use: create one {@link org.geraniumreach.gateway.retry.RetryBudgets} for each process and let it observe all calls to targets. Record every
 * request that is received, every sending of it and the outcome of each, and ask before each retry.
 */
package org.geraniumreach.gateway.retry;
