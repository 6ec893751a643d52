/** Failure domains that the operator has emptied: from when on nothing may be sent to their targets. */
package org.geraniumreach.gateway.evacuation;
