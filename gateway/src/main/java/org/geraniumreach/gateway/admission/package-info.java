/** Ordered admission of requests to targets that are asked for more than they can serve, and the spacing of prompts. */
package org.geraniumreach.gateway.admission;
