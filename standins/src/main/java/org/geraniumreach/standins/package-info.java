/** Stand-ins for the platform and for targets, and the load tool, behind one command line. */
package org.geraniumreach.standins;
