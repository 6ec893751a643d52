/** Replicates the configuration: polls the table, exchanges changes with peers and provides the configuration in force. */
package org.geraniumreach.daemon.configuration;
