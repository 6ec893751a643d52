/** Follows changes in the store, and renews this entry's lease. */
package org.geraniumreach.gateway.store;
