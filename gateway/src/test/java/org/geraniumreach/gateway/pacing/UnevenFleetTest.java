package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks what callers get from a fleet of uneven targets, with uniform and with known speeds. */
class UnevenFleetTest {

    private static final double MAX_PAUSE_MILLIS = 300;
    private static final double OBJECTIVE_MILLIS = 600;
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration MEASURED = Duration.ofSeconds(10);

    private record Result(double paused, double unserved, double unservedAtSlow, double unservedAtFast) {}

    private static Result simulate(double demand, boolean speedsKnown) {
        FleetModel fleet = new FleetModel(1, speedsKnown);
        List<EngineModel.Stream> streams = fleet.run(demand, WARM_UP, MEASURED);
        return new Result(
                fraction(streams, UnevenFleetTest::paused),
                fraction(streams, UnevenFleetTest::unserved),
                fraction(at(fleet, streams, FleetModel.RELATIVE_RATES.get(0)), UnevenFleetTest::unserved),
                fraction(at(fleet, streams, FleetModel.RELATIVE_RATES.get(2)), UnevenFleetTest::unserved));
    }

    private static List<EngineModel.Stream> at(FleetModel fleet, List<EngineModel.Stream> streams, double rate) {
        Set<EngineModel.Stream> there = fleet.served().stream()
                .filter(served -> served.relativeRate() == rate)
                .map(FleetModel.Served::stream)
                .collect(Collectors.toSet());
        return streams.stream().filter(there::contains).toList();
    }

    private static double fraction(List<EngineModel.Stream> streams, Predicate<EngineModel.Stream> predicate) {
        return (double) streams.stream().filter(predicate).count() / streams.size();
    }

    private static boolean paused(EngineModel.Stream stream) {
        return stream.longestPause() > MAX_PAUSE_MILLIS;
    }

    private static boolean unserved(EngineModel.Stream stream) {
        return paused(stream) || !stream.hasBegun() || stream.timeToFirstEvent() > OBJECTIVE_MILLIS;
    }

    /** Guards against slow targets that are sent as many prompts as fast ones, so that most of their streams pause. */
    @ParameterizedTest
    @CsvSource({"0.35, 0.75, 0.85", "0.6, 1, 1.15", "0.8, 1, 1.15"})
    void knownSpeedsReducePausesAndKeepSlowTargetsWithinAFactorOfTwo(
            double demand, double maxPausedRatio, double maxUnservedRatio) {
        Result uniform = simulate(demand, false);
        Result known = simulate(demand, true);
        assertThat(known.paused())
                .as("paused, uniform: %s, known: %s", uniform, known)
                .isLessThan(maxPausedRatio * uniform.paused());
        assertThat(known.unserved())
                .as("unserved, uniform: %s, known: %s", uniform, known)
                .isLessThan(maxUnservedRatio * uniform.unserved());
        assertThat(known.unservedAtSlow())
                .as("slow, uniform: %s, known: %s", uniform, known)
                .isLessThanOrEqualTo(2 * known.unservedAtFast());
    }
}
