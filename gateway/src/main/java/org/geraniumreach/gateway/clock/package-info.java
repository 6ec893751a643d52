/** The clocks of a process that may be suspended. */
package org.geraniumreach.gateway.clock;
