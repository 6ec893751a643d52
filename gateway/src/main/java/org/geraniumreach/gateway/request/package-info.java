/** The state machine that carries one request from its receipt to its final answer, and its collaborators. */
package org.geraniumreach.gateway.request;
