/**
 * An asynchronous HTTP/1.1 client whose connections all run on one event loop.
 *
 * <p>The client neither retries calls nor times them out. The code that uses it sets the maximum idle time of reused connections,
 * and cancels calls that take too long.
 */
package org.geraniumreach.httpclient;
