/** The HTTP API for operators: configuration records, their history and the state of this process. */
package org.geraniumreach.daemon.operator;
