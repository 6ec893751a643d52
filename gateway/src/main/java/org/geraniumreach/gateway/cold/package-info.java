/** Targets that have just started and may get few requests a second of all entries together. */
package org.geraniumreach.gateway.cold;
