package org.geraniumreach.gateway.placement;

import java.time.Duration;

/**
 * The heartbeats of a target since its row was removed.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param count the number of heartbeats
 * @param firstAt the time of the first one by the monotonic clock, meaningless without heartbeats
 * @param latestAt the time of the latest one, meaningless without heartbeats
 */
record HeartbeatSeries(int count, long firstAt, long latestAt) {

    private static final HeartbeatSeries EMPTY = new HeartbeatSeries(0, 0, 0);

    static HeartbeatSeries empty() {
        return EMPTY;
    }

    boolean isEmpty() {
        return count == 0;
    }

    boolean beganBy(long nanos) {
        return !isEmpty() && firstAt - nanos <= 0;
    }

    HeartbeatSeries plus(long now) {
        return new HeartbeatSeries(count + 1, isEmpty() ? now : firstAt, now);
    }

    /** Gets the time between the first and the latest heartbeat. */
    Duration span() {
        return Duration.ofNanos(latestAt - firstAt);
    }
}
