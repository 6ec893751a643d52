package org.geraniumreach.daemon.settings;

/**
 * Settings with constraints between their components.
 *
 * <p>Contract: the reader calls the check after all components have been read, and reports a violation with the path of
 * the record.
 */
@FunctionalInterface
public interface ConsistentSettings {

    /**
     * Checks the constraints.
     *
     * @throws IllegalArgumentException if a constraint is violated; the message names it
     */
    void requireConsistent();
}
