/** What the HTTP faces towards callers and operators share. */
package org.geraniumreach.httpserver;
