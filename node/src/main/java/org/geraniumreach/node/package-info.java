/** The process that runs on the users' platform: wires the decisions of {@code gateway} to one event loop. */
package org.geraniumreach.node;
