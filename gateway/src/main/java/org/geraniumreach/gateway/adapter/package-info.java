/** Loading and unloading of adapters at targets, and the ownership that entitles one entry to do so. */
package org.geraniumreach.gateway.adapter;
