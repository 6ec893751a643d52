/**
 * An entry: takes callers' requests, checks key, assignment and budget, chooses a target, and passes the answer on.
 *
 * <p>A request's way: {@link org.geraniumreach.daemon.entry.CallerEndpoints} reads it, {@link
 * org.geraniumreach.daemon.entry.RequestAuthorizer} checks who sent it, {@link org.geraniumreach.daemon.entry.GenerationCall} or
 * {@link org.geraniumreach.daemon.entry.ServiceCall} takes it from its budget to its end, and {@link
 * org.geraniumreach.daemon.entry.Fleet} knows the targets.
 */
package org.geraniumreach.daemon.entry;
