/** Maintains the membership: reads the instance list, maintains links and publishes the view. */
package org.geraniumreach.daemon.membership;
