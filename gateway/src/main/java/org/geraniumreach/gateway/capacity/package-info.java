/** How much work each entry can take beside the others. */
package org.geraniumreach.gateway.capacity;
