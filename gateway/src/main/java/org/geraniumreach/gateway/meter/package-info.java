/** Rates of what was asked for lately. */
package org.geraniumreach.gateway.meter;
