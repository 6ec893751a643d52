/** Reading the store's news again and again, and keeping this entry's lease. */
package org.geraniumreach.gateway.store;
