/** Compares the results of runs of the load tool under several configurations. */
package org.geraniumreach.standins.report;
