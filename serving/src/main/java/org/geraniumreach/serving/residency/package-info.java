/**
 * Adapter residency: a companion's control of which adapters its target holds, loads and evicts.
 *
 * <p>Use: create one {@link org.geraniumreach.serving.residency.Residency} and {@code synchronise} it with the engine's
 * state, at the start and periodically. For each request, call {@code request}; refuse the request if the result says
 * so, otherwise offer it to the queue. After each request, load, failure and release, and at a short interval, execute
 * the loads that the residency starts and report whether each succeeded. Call {@code pin} just before a request runs
 * and release the pin when it ends. Cancel a request that is given up while it waits. Send the number of loads in
 * progress and waiting and the waiting work in LoadNews, and pass the news of other companions to {@link
 * org.geraniumreach.serving.residency.FleetLoads}.
 */
package org.geraniumreach.serving.residency;
