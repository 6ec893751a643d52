/** The traffic configuration by which requests are handled: routes, client accounts, services and named adapter versions. */
package org.geraniumreach.gateway.traffic;
