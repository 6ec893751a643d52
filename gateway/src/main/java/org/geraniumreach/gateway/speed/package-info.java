/** How fast targets process requests, relative to their service and at the moment. */
package org.geraniumreach.gateway.speed;
