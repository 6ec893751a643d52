/** The daemon: its command line, and the wiring of an entry and of a companion. */
package org.geraniumreach.daemon;
