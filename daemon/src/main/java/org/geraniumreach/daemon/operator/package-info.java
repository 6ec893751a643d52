/** The operators' HTTP port: records, their history and this process's state. */
package org.geraniumreach.daemon.operator;
