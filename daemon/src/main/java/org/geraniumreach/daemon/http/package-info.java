/**
 * HTTP listeners of the daemon, built on Grizzly: routes, bounded bodies, numbered errors and streamed responses.
 *
 * <p>An endpoint receives a {@link org.geraniumreach.daemon.http.Call} whose body has been read completely, and answers
 * it once, immediately or later, from any thread.
 */
package org.geraniumreach.daemon.http;
