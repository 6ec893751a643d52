/**
 * Trials of the decisions in virtual time: entries, companions, engines and the weight store as a queue of events in one
 * thread, without network, processes or faults.
 *
 * <p>They compare policies with one another; what a fleet really does is measured with the load tool.
 */
package org.geraniumreach.benchmarks.trial;
