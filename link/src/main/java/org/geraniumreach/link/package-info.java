/**
 * The link between the processes of the system: protobuf frames over TCP by Netty.
 *
 * <p>A link says Hello, carries heartbeats, and is given up and replaced when three heartbeats stay unanswered, since
 * something between two ends can lose track of a connection for good while new ones work. Answers are matched by attempt
 * and sequence, so late and crossed ones go to nobody.
 */
package org.geraniumreach.link;
