/**
 * The HTTP faces of the daemon, by Grizzly: routes to endpoints, bounded bodies, numbered errors and streamed replies.
 *
 * <p>An endpoint gets a {@link org.geraniumreach.daemon.http.Call} whose body has been read whole, and answers it once, at
 * once or later and from any thread.
 */
package org.geraniumreach.daemon.http;
