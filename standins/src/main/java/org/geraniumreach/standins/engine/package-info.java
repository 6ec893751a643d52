/** The stand-in for a model engine with continuous batching. */
package org.geraniumreach.standins.engine;
