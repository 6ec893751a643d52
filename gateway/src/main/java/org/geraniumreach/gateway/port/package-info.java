/** What the decisions need of the outside: targets, the store, callers, timers and a log. */
package org.geraniumreach.gateway.port;
