/** JMH benchmarks of the decisions at today's sizes and at the size designed for. */
package org.geraniumreach.benchmarks.jmh;
