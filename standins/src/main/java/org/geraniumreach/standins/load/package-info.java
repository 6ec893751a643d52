/**
 * The load tool: sends requests at their times whatever the answers, checks every answer, and measures.
 *
 * <p>It speaks to an entry as any client of the OpenAI conventions does, or directly to a stand-in engine, so that the two
 * can be compared.
 */
package org.geraniumreach.standins.load;
