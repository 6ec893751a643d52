/** What an entry and a companion have in common: who they are, what they stand on, and how they end. */
package org.geraniumreach.daemon.node;
