/**
 * Fair queueing and concurrency limits: the order and number of requests that a companion runs on its target.
 *
 * <p>Use: create one {@link org.geraniumreach.serving.queue.RequestQueue} for each target and {@code offer} each
 * admitted request. After each offer, load and end of a request, call {@code take} with {@code residency::isReady}
 * until it returns empty; pin the adapter of each request that it returns, run the request and report its end to the
 * queue. Call {@code remove} to seal or cancel a request that is still waiting. For a plain service the use is the
 * same, with requests that name no adapter.
 */
package org.geraniumreach.serving.queue;
