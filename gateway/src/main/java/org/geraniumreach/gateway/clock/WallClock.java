package org.geraniumreach.gateway.clock;

/** A clock that shows the time of day. */
@FunctionalInterface
public interface WallClock {

    /**
     * Returns the time of day.
     *
     * @return milliseconds since the epoch of 1970
     */
    long millis();
}
