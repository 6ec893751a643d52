/**
 * The order in which a companion gives requests to its target, and how many at once.
 *
 * <p>Use: one {@link org.geraniumreach.serving.queue.RequestQueue} for a target. {@code offer} each request that is taken
 * in; after each offer, load and end, call {@code take} with {@code residency::isReady} until it answers empty, pin the
 * adapter of what it gives and run it; call {@code finished} at its end. {@code remove} seals or cancels one that still
 * waits. For a plain service the same, with requests that name no adapter.
 */
package org.geraniumreach.serving.queue;
