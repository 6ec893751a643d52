/**
 * An asynchronous HTTP/1.1 client whose connections all live on one event loop.
 *
 * <p>Plumbing only: it neither retries nor waits. Its caller says which kept connections are young enough to be used, and
 * cancels what takes too long.
 */
package org.geraniumreach.httpclient;
