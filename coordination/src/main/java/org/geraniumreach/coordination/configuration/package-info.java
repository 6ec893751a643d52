/**
 * Replicates the operators' records: one log in the platform's table, submissions that are settled exactly once, and nodes
 * that apply contiguous rising revisions and know how current they are.
 *
 * <p>{@link org.geraniumreach.coordination.configuration.SubmissionProcess} takes a change into the log, {@link
 * org.geraniumreach.coordination.configuration.ConfigurationNode} brings it to every instance. Both take events and answer
 * with what to do; they hold no socket, thread or sleep.
 */
package org.geraniumreach.coordination.configuration;
