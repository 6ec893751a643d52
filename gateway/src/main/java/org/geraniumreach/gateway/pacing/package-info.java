/** When prompts may be sent to a target, so that reading them does not hold up the streams that run there. */
package org.geraniumreach.gateway.pacing;
