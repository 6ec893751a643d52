/**
 * HTTP clients of the platform's services and of targets; docs/STANDINS.md describes the protocols.
 *
 * <p>Connections that failed or timed out are not reused: the call after a failure opens a new connection.
 */
package org.geraniumreach.standalone;
