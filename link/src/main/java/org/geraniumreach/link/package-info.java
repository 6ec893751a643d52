/**
 * The link between the processes of the system: protobuf frames over TCP, implemented with Netty.
 *
 * <p>Both ends of a link send Hello and exchange heartbeats. A link is closed and replaced after a number of unanswered
 * heartbeats (three by default), since a device between two ends can drop the state of a connection for good while new
 * connections work. Answers are matched by attempt and sequence number, so late or misdirected answers are dropped.
 */
package org.geraniumreach.link;
