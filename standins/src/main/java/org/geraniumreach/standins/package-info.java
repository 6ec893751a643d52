/** Stand-ins for the platform and for targets, and the load tool, with a common command line. */
package org.geraniumreach.standins;
