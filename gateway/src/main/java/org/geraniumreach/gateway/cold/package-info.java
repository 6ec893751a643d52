/** Rate limits for targets that have just started, shared by all entries. */
package org.geraniumreach.gateway.cold;
