/**
 * Interfaces to the platform's services (table service, object store, instance list) and to targets (model engines,
 * plain services).
 *
 * <p>Every call has a timeout. After a timeout the next call uses a new connection, never the pooled one that timed
 * out. A failure tells whether the call may have taken effect; the outcome of a write whose answer was lost is
 * determined by a read.
 */
package org.geraniumreach.ports;
