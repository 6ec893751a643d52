/** The stand-in for a plain service with operations that are not all idempotent. */
package org.geraniumreach.standins.service;
