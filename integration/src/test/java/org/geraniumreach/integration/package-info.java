/**
 * Failure tests of the real processes, against stand-ins, on loopback.
 *
 * <p>Each test starts its own processes and ends them. What is asserted is what must hold, from the stand-ins' records of
 * what ran and from what each caller received; nothing is asserted of how long something took.
 */
package org.geraniumreach.integration;
