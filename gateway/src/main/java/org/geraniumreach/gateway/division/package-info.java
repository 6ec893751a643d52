/** Division of a limit that applies to all entries together among the entries. */
package org.geraniumreach.gateway.division;
