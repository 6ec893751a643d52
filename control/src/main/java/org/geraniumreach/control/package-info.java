/** Command-line client for the operator port of an entry. */
package org.geraniumreach.control;
