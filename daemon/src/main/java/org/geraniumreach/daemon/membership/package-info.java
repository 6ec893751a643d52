/** Drives the membership core: reads the instance list, keeps links and publishes the view. */
package org.geraniumreach.daemon.membership;
