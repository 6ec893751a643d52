/** What all stand-ins share: an HTTP server by Grizzly, faults to inject, and the port that administers them. */
package org.geraniumreach.standins.http;
