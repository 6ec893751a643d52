/**
 * Determines which instances exist and accept new work, from the delayed instance list, the open links and the instances'
 * leave announcements.
 *
 * <p>Uses no sockets, threads or sleeps.
 */
package org.geraniumreach.coordination.membership;
