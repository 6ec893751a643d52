package org.geraniumreach.gateway.speed;

import java.time.Duration;

/**
 * The pace of one stream of a target.
 *
 * <p>The interval between events depends on the target alone. The time to the first event would also contain the processor time of the
 * entry and prompts of other entries.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param eventInterval the usual time between two events, without the pauses in which the target prefills prompts, above zero
 */
public record PaceSample(Duration eventInterval) {

    private static final double NANOS_PER_MILLI = 1e6;

    public PaceSample {
        if (eventInterval.isNegative() || eventInterval.isZero()) {
            throw new IllegalArgumentException("event interval not above zero: " + eventInterval);
        }
    }

    double eventsPerMilli() {
        return NANOS_PER_MILLI / eventInterval.toNanos();
    }
}
