/**
 * Admission control: whether a request is admitted, or refused with a delay after which to retry.
 *
 * <p>Use: at a companion, with the tokens ahead that {@link org.geraniumreach.serving.queue.RequestQueue} estimates for
 * the request, the target's recent throughput, and the load wait that {@link
 * org.geraniumreach.serving.residency.Residency} estimates.
 */
package org.geraniumreach.serving.admission;
