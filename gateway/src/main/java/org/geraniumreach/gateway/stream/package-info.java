/** What entries know of the streams that callers may take up again: which software version of a service began them. */
package org.geraniumreach.gateway.stream;
