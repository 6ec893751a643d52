/** The operators' command line, which speaks to the operators' port of any entry. */
package org.geraniumreach.control;
