/** Ordered admission of requests to targets that are asked for more than they can serve. */
package org.geraniumreach.gateway.admission;
