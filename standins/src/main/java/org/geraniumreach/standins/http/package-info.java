/** The HTTP server that all stand-ins share, based on Grizzly, with fault injection and administration. */
package org.geraniumreach.standins.http;
