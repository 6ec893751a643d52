/** The stand-in of a model engine that batches continuously. */
package org.geraniumreach.standins.engine;
