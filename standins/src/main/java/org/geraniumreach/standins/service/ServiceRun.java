package org.geraniumreach.standins.service;

/**
 * The record of one run of an operation.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number the record number, from 1
 * @param operation the operation
 * @param account the client account of the call, empty if missing
 * @param attempt the attempt of the call, empty if missing
 * @param body the request body
 * @param timeMillis when the operation ran, in milliseconds since the epoch
 */
public record ServiceRun(long number, String operation, String account, String attempt, String body, long timeMillis) {}
