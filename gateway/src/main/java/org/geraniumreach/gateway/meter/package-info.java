/** Meters of recent demand. */
package org.geraniumreach.gateway.meter;
