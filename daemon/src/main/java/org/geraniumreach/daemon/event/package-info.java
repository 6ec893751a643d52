/** The numbered events of the logs. */
package org.geraniumreach.daemon.event;
