/**
 * Which adapters a target holds, at its companion.
 *
 * <p>Use: make one {@link org.geraniumreach.serving.residency.Residency} and {@code synchronise} it with the engine's state,
 * at the start and then now and again. For each request: {@code request}, refuse it if so answered, else offer it to the
 * queue. After each request, load, failure, release and at a short interval: carry out what {@code orders} answers and tell
 * {@code loaded} or {@code failed} of each. Just before a request runs take its {@code pin}, and release that at its end. A
 * request that is given up while it waits is {@code withdraw}n. Send LoadNews with {@code inTransit}, {@code waiting} and
 * {@code waitingWork}; give the others' to {@link org.geraniumreach.serving.residency.FleetLoads}.
 */
package org.geraniumreach.serving.residency;
