/** The state machine of one request, and what it is given. */
package org.geraniumreach.gateway.request;
