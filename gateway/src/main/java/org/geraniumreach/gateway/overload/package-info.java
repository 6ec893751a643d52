/** The load that an entry takes on while it lacks processor time. */
package org.geraniumreach.gateway.overload;
