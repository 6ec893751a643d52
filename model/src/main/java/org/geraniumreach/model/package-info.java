/** Names and values that every part of the system shares. */
package org.geraniumreach.model;
