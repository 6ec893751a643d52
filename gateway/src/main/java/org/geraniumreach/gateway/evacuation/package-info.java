/** Evacuation of failure domains by the operator, after which no requests may reach their targets. */
package org.geraniumreach.gateway.evacuation;
