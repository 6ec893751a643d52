/** Interfaces between request decisions and their environment: targets, the store, callers, timers and the log. */
package org.geraniumreach.gateway.port;
