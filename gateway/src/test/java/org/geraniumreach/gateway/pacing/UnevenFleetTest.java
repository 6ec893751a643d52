package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks what callers get from a fleet of uneven targets, with uniform and with known speeds. */
class UnevenFleetTest {

    private static final double MAX_PAUSE_MILLIS = 300;
    private static final double OBJECTIVE_MILLIS = 600;
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration MEASURED = Duration.ofSeconds(10);

    private static final double LIGHT_DEMAND = 0.35;

    /** The results of each simulation, which several tests check. */
    private static final Map<Double, Result> UNIFORM = new ConcurrentHashMap<>();

    private static final Map<Double, Result> KNOWN = new ConcurrentHashMap<>();

    private record Result(
            double paused,
            double unserved,
            double pausedAtSlow,
            double pausedAtFast,
            double unservedAtSlow,
            double unservedAtFast) {}

    private static Result simulate(double demand, boolean speedsKnown) {
        FleetModel fleet = new FleetModel(1, speedsKnown);
        List<EngineModel.Stream> streams = fleet.run(demand, WARM_UP, MEASURED);
        List<EngineModel.Stream> slow = at(fleet, streams, FleetModel.RELATIVE_RATES.get(0));
        List<EngineModel.Stream> fast = at(fleet, streams, FleetModel.RELATIVE_RATES.get(2));
        return new Result(
                fraction(streams, UnevenFleetTest::paused),
                fraction(streams, UnevenFleetTest::unserved),
                fraction(slow, UnevenFleetTest::paused),
                fraction(fast, UnevenFleetTest::paused),
                fraction(slow, UnevenFleetTest::unserved),
                fraction(fast, UnevenFleetTest::unserved));
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

    private static Result uniform(double demand) {
        return UNIFORM.computeIfAbsent(demand, missing -> simulate(demand, false));
    }

    private static Result known(double demand) {
        return KNOWN.computeIfAbsent(demand, missing -> simulate(demand, true));
    }

    private static String describe(double demand) {
        return "uniform: %s, known: %s".formatted(uniform(demand), known(demand));
    }

    /** Guards against speeds that cause more pauses than no knowledge of them. */
    @ParameterizedTest
    @ValueSource(doubles = {0.35, 0.6, 0.8})
    void knownSpeedsCauseNoMorePausesThanUniformOnes(double demand) {
        assertThat(known(demand).paused())
                .as(describe(demand))
                .isLessThanOrEqualTo(uniform(demand).paused());
    }

    /** Guards against fewer pauses that are paid for with late first events. */
    @Test
    void knownSpeedsLeaveNoMoreStreamsUnservedAtLightLoad() {
        assertNoMoreUnserved(LIGHT_DEMAND);
    }

    /** Guards against the same at a load at which prompts wait. */
    @ParameterizedTest
    @ValueSource(doubles = {0.6, 0.8})
    void knownSpeedsLeaveNoMoreStreamsUnservedUnderLoad(double demand) {
        assertNoMoreUnserved(demand);
    }

    private static void assertNoMoreUnserved(double demand) {
        assertThat(known(demand).unserved())
                .as(describe(demand))
                .isLessThanOrEqualTo(uniform(demand).unserved());
    }

    /** Guards against slow targets that are sent as many prompts as fast ones, so that most of their streams pause. */
    @Test
    void slowTargetsHaveAtMostTwiceAsManyPausesAsFastOnesAtHighLoad() {
        assertAtMostTwiceAsManyPauses(0.8);
    }

    /** Guards against the same at loads at which fast targets have time left. */
    @ParameterizedTest
    @ValueSource(doubles = {LIGHT_DEMAND, 0.6})
    void slowTargetsHaveAtMostTwiceAsManyPausesAsFastOnes(double demand) {
        assertAtMostTwiceAsManyPauses(demand);
    }

    private static void assertAtMostTwiceAsManyPauses(double demand) {
        assertThat(known(demand).pausedAtSlow())
                .as(describe(demand))
                .isLessThanOrEqualTo(2 * known(demand).pausedAtFast());
    }

    /** Guards against slow targets that answer late instead. */
    @ParameterizedTest
    @ValueSource(doubles = {0.35, 0.6, 0.8})
    void slowTargetsLeaveAtMostTwiceAsManyStreamsUnservedAsFastOnes(double demand) {
        assertThat(known(demand).unservedAtSlow())
                .as(describe(demand))
                .isLessThanOrEqualTo(2 * known(demand).unservedAtFast());
    }

    /** Guards against pauses at a load that leaves the targets two thirds of their time. */
    @Test
    void fewStreamsPauseAtLightLoad() {
        assertThat(known(LIGHT_DEMAND).paused()).as(describe(LIGHT_DEMAND)).isLessThanOrEqualTo(0.05);
    }
}
