/** The parts that an entry and a companion share: identity, common services, management endpoints and draining. */
package org.geraniumreach.daemon.node;
