/**
 * The companion, which is the only process that calls its target.
 *
 * <p>It answers entries over links, decides with {@link org.geraniumreach.daemon.companion.AttemptTable} which attempts
 * may start, queues requests, manages the adapter slots of a model engine, and retains the output of a target until the
 * entry has acknowledged it.
 */
package org.geraniumreach.daemon.companion;
