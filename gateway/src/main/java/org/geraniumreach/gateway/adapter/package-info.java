/** Which adapters a target holds, who may order it, and the orders that change it. */
package org.geraniumreach.gateway.adapter;
