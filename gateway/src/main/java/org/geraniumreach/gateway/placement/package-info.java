/** The targets known to one entry (gateway process) and the selection of a target for each request. */
package org.geraniumreach.gateway.placement;
