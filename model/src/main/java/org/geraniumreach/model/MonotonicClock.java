package org.geraniumreach.model;

/**
 * A monotonic clock for measuring elapsed time.
 *
 * <p>Contract: the reading never decreases and continues to advance while the process is suspended, so that a lease whose
 * holder was suspended is found expired. Tests may supply their own clock. Implementations are safe for use by several
 * threads.
 */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Reads the clock.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nanos();

    /**
     * Returns the system clock.
     *
     * @return the clock, not null
     */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
