package org.geraniumreach.daemon.settings;

/**
 * Settings between which something must hold.
 *
 * <p>Contract: the reader asks once all components are read, and names a fault with the path of the record.
 */
@FunctionalInterface
public interface ConsistentSettings {

    /**
     * Checks what must hold between the settings.
     *
     * @throws IllegalArgumentException naming what does not hold
     */
    void requireConsistent();
}
