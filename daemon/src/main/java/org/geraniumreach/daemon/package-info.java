/** The command line of the daemon, which starts an entry or a companion. */
package org.geraniumreach.daemon;
