/** Targets that have asked this entry to send them nothing for a time. */
package org.geraniumreach.gateway.rest;
