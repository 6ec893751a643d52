/** The connections to targets, whose number is limited for all entries together. */
package org.geraniumreach.gateway.connection;
