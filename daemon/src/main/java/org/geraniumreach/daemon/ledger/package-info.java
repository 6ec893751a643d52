/** Connects the ledger of {@code org.geraniumreach.coordination.ledger} to the table service and companions. */
package org.geraniumreach.daemon.ledger;
