/** The order in which requests and adapter loads get capacity that is asked for by more than it can serve. */
package org.geraniumreach.gateway.priority;
