/** The targets as one entry sees them, and the choice of one for a request. */
package org.geraniumreach.gateway.placement;
