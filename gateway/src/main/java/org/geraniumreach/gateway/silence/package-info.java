/** Targets that send nothing for a while, of which it is not yet known whether they are lost. */
package org.geraniumreach.gateway.silence;
