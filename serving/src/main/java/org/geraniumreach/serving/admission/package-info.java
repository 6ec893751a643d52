/**
 * The decision to take a request in or to refuse it at once with a time to come back.
 *
 * <p>Use: at a companion, with the tokens ahead that {@link org.geraniumreach.serving.queue.RequestQueue} tells for the
 * client account, the rate at which the target has lately worked, and the load wait that {@link
 * org.geraniumreach.serving.residency.Residency} estimates.
 */
package org.geraniumreach.serving.admission;
