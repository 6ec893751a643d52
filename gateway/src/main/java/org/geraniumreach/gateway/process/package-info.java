/** Settings of an entry's process. */
package org.geraniumreach.gateway.process;
