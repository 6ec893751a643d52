/** Runs the budget core of {@code org.geraniumreach.coordination.budget} against the table service, the links and time. */
package org.geraniumreach.daemon.budget;
