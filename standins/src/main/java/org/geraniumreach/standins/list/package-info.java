/** The stand-in for the platform's instance list, which lags behind the actual state. */
package org.geraniumreach.standins.list;
