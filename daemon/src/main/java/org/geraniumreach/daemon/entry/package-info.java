/**
 * The entry process: authenticates callers' requests, checks assignment and budget, routes them to a target, and
 * returns the answer.
 *
 * <p>Processing of a request: {@link org.geraniumreach.daemon.entry.CallerEndpoints} reads it; {@link
 * org.geraniumreach.daemon.entry.RequestAuthorizer} authenticates its caller; {@link
 * org.geraniumreach.daemon.entry.GenerationCall} or {@link org.geraniumreach.daemon.entry.ServiceCall} reserves its
 * budget and runs it; and {@link org.geraniumreach.daemon.entry.Fleet} maintains the available targets.
 */
package org.geraniumreach.daemon.entry;
