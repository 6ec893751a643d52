/**
 * The rates of client accounts over all entries: each entry admits from a part of an account's rate, and the parts of one account
 * stand in one stored row, so that their sum is right by construction.
 */
package org.geraniumreach.gateway.quota;
