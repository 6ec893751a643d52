/** The entry process on the users' platform, which runs the decision logic of {@code gateway} on one event loop. */
package org.geraniumreach.node;
