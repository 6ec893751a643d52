/**
 * Replicates the operators' records: one log in the platform's table, submissions that are committed exactly once, and nodes
 * that apply revisions in order and determine how long their configuration counts as current.
 *
 * <p>{@link org.geraniumreach.coordination.configuration.SubmissionProcess} commits a change to the log; {@link
 * org.geraniumreach.coordination.configuration.ConfigurationNode} replicates it to every instance. Both handle events and
 * return the actions to perform; neither uses sockets, threads or sleeps.
 */
package org.geraniumreach.coordination.configuration;
