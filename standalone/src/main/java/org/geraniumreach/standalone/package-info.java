/**
 * HTTP clients of the platform's services and of targets; docs/STANDINS.md describes what they speak.
 *
 * <p>Whatever broke or went silent once is not used again: the call after a failure opens a connection of its own.
 */
package org.geraniumreach.standalone;
