/** Pacing of the prompts sent to a target, so that reading them does not delay its running streams. */
package org.geraniumreach.gateway.pacing;
