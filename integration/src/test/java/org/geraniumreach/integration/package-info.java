/**
 * Failure tests that run the real processes against stand-ins on the loopback interface.
 *
 * <p>Each test starts and stops its own processes. Assertions use the runs that the stand-ins recorded and the responses
 * that callers received; none depends on how long something took.
 */
package org.geraniumreach.integration;
