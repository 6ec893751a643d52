package org.geraniumreach.gateway.speed;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.port.Slowdown;

/**
 * What an entry has observed of the speed of a target since its last report.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param samples the paces of streams
 * @param figure the last slowdown that the target has reported to the entry, empty if none is new
 */
public record SpeedReport(List<PaceSample> samples, Optional<Figure> figure) {

    /**
     * A reported slowdown.
     *
     * @param slowdown the slowdown
     * @param age the time since it was reported, not negative
     */
    public record Figure(Slowdown slowdown, Duration age) {

        public Figure {
            Objects.requireNonNull(slowdown, "slowdown");
            if (age.isNegative()) {
                throw new IllegalArgumentException("negative age of a slowdown: " + age);
            }
        }
    }

    public SpeedReport {
        samples = List.copyOf(samples);
        Objects.requireNonNull(figure, "figure");
    }
}
