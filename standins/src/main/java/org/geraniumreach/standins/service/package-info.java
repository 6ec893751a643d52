/** The stand-in of a plain service whose operations may not all be repeated. */
package org.geraniumreach.standins.service;
