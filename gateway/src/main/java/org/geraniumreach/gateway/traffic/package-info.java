/** The configuration that requests are judged by: routes, client accounts, services and named adapter versions. */
package org.geraniumreach.gateway.traffic;
