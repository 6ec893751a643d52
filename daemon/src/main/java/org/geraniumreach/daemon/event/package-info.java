/** The event log: numbered events, written as text or JSON. */
package org.geraniumreach.daemon.event;
