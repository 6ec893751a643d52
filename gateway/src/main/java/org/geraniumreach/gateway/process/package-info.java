/** What a process is told at its start. */
package org.geraniumreach.gateway.process;
