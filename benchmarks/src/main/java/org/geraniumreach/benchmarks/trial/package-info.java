/**
 * Discrete-event simulations of routing, queueing and residency in virtual time. Entries, companions, engines and the
 * weight store run in one thread, without network, processes or faults.
 *
 * <p>They compare policies with one another; the load tool measures the performance of a real fleet.
 */
package org.geraniumreach.benchmarks.trial;
