/**
 * Ports to what the platform gives (table service, object store, instance list) and to targets (model engines, plain
 * services).
 *
 * <p>Every call has a timeout. After a timeout the next call takes a new connection, never the pooled one that went quiet.
 * A failure says whether the call may have taken effect; a write whose answer was lost is settled by reading.
 */
package org.geraniumreach.ports;
