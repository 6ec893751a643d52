/**
 * The load tool: sends requests in an open loop, checks every answer and measures latency.
 *
 * <p>It calls an entry through the OpenAI-compatible API, or a stand-in engine directly, so that the two can be
 * compared.
 */
package org.geraniumreach.standins.load;
