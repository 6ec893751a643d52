/** Components shared by the HTTP servers for callers and operators. */
package org.geraniumreach.httpserver;
