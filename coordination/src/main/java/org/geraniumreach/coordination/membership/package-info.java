/**
 * Which instances are there and take new work, from a lagging instance list, links and the instances' own words.
 *
 * <p>Holds no socket, thread or sleep.
 */
package org.geraniumreach.coordination.membership;
