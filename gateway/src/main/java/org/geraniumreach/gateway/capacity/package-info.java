/** Processor capacities of the entries, by which tasks are divided among them. */
package org.geraniumreach.gateway.capacity;
