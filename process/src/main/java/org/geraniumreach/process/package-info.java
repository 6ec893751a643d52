/** Metrics and signal handling that all processes of the system share. */
package org.geraniumreach.process;
