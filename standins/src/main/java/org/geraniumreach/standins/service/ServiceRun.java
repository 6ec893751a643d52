package org.geraniumreach.standins.service;

/**
 * One run of an operation.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number its number, from 1
 * @param operation the operation
 * @param account the client account that it ran for
 * @param attempt the attempt that came with the call
 * @param body the request's body
 * @param timeMillis when it ran, since the epoch
 */
public record ServiceRun(long number, String operation, String account, String attempt, String body, long timeMillis) {}
