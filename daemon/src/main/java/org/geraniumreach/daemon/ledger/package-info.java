/** Runs the once-only ledger of {@code org.geraniumreach.coordination.ledger} against the table service and companions. */
package org.geraniumreach.daemon.ledger;
