/**
 * The companion: the only process that speaks to its target.
 *
 * <p>It answers entries over links, decides with {@link org.geraniumreach.daemon.companion.AttemptTable} what may start,
 * queues requests, owns the adapter slots of a model engine, and keeps what a target has given until the entry has
 * acknowledged it.
 */
package org.geraniumreach.daemon.companion;
