/** The text that the stand-in engine generates, which anyone can work out again to check an answer. */
package org.geraniumreach.standins.answer;
