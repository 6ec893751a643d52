/** Connects the budget logic of {@code org.geraniumreach.coordination.budget} to the table service and the links. */
package org.geraniumreach.daemon.budget;
