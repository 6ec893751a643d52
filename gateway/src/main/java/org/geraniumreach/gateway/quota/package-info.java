/**
 * Rate limits of client accounts across all entries. Each entry admits requests from its part of an account's rate, and the
 * parts of one account are kept in one stored row, so that their sum cannot exceed the rate.
 */
package org.geraniumreach.gateway.quota;
