/** JMH benchmarks of routing, queueing, residency and configuration at the sizes of {@link FleetSize}. */
package org.geraniumreach.benchmarks.jmh;
