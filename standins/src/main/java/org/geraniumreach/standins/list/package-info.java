/** The stand-in of the platform's lagging instance list. */
package org.geraniumreach.standins.list;
