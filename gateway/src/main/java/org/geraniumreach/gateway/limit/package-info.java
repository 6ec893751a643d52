/** Limits that targets name for the requests that all entries together may send them. */
package org.geraniumreach.gateway.limit;
