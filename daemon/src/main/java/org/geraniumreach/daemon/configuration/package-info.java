/** Drives the configuration core: polls the table, exchanges news with peers and answers who asks for the configuration. */
package org.geraniumreach.daemon.configuration;
