package org.geraniumreach.model;

/**
 * A source of elapsed time.
 *
 * <p>Contract: the reading never falls, and goes on while the process is frozen, so that a lease whose holder was paused
 * is seen to have lapsed. A test gives a clock of its own. Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Reads the clock.
     *
     * @return nanoseconds since an arbitrary point
     */
    long nanos();

    /**
     * Obtains the clock of the machine.
     *
     * @return the clock, not null
     */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
