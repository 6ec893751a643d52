/** The deterministic text that the stand-in engine generates, recomputed to check answers. */
package org.geraniumreach.standins.answer;
