package org.geraniumreach.coordination.ledger;

import java.time.Duration;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Tests the ledger with entries that crash, companions that restart or discard records, and a table service that loses
 * answers.
 *
 * <p>A longer run with a new seed: {@code mvn -pl coordination -am verify -Dtest=LedgerCallFuzzTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dgeraniumreach.fuzz.seconds=60 -Djqwik.tries.default=1000000}; a failure
 * prints its seed and the shrunk sequence.
 */
class LedgerCallFuzzTest {

    private static final int MAX_STEPS = 60;
    private static final long STARTED_AT_NANOS = System.nanoTime();

    /** A simulation step with three integer arguments. */
    @FunctionalInterface
    private interface Step {
        void apply(LedgerSimulation simulation, int first, int second, int third);
    }

    // A request must not run twice when two entries send it, and must not be refused as "not run" after it ran. Calls
    // with the same key compete for the row under crashes, lost answers, late commits, restarts of companions and
    // frames that arrive late or twice. The check counts the runs that companions start for each key.
    @Property(seed = "4711", tries = 3000)
    void requestRunsAtMostOnceAndIsReportedNotRunOnlyIfItDidNotRun(
            @ForAll("chains") ActionChain<LedgerSimulation> chain) {
        chain.run().completeAllCalls();
    }

    @Property
    void atMostOnceHoldsForRandomSeeds(@ForAll("chains") ActionChain<LedgerSimulation> chain) {
        long seconds = Long.getLong("geraniumreach.fuzz.seconds", 0);
        if (System.nanoTime() - STARTED_AT_NANOS < Duration.ofSeconds(seconds).toNanos()) {
            chain.run().completeAllCalls();
        }
    }

    @Provide
    Arbitrary<ActionChain<LedgerSimulation>> chains() {
        return ActionChain.startWith(LedgerSimulation::new)
                .withAction(
                        3,
                        step("start", LedgerSimulation.ENTRIES, LedgerSimulation.KEYS, 2, LedgerSimulation::startCall))
                .withAction(
                        20,
                        step(
                                "progress",
                                6,
                                8,
                                1,
                                (simulation, call, outcome, unused) -> simulation.progress(call, outcome)))
                .withAction(
                        5,
                        step(
                                "deliver",
                                4,
                                5,
                                4,
                                (simulation, frame, refusing, redelivered) ->
                                        simulation.deliver(frame, refusing == 1, redelivered == 1)))
                .withAction(
                        3,
                        step(
                                "finish",
                                2,
                                1,
                                1,
                                (simulation, companion, unused, ignored) -> simulation.finishAttempts(companion)))
                .withAction(
                        2,
                        step(
                                "crash",
                                LedgerSimulation.ENTRIES,
                                1,
                                1,
                                (simulation, entry, unused, ignored) -> simulation.crashEntry(entry)))
                .withAction(
                        1,
                        step(
                                "restart",
                                2,
                                1,
                                1,
                                (simulation, companion, unused, ignored) -> simulation.restartCompanion(companion)))
                .withAction(
                        2,
                        step(
                                "late commit",
                                3,
                                1,
                                1,
                                (simulation, which, unused, ignored) -> simulation.applyDelayed(which)))
                .withAction(
                        2,
                        step("pass", 90, 1, 1, (simulation, seconds, unused, ignored) -> simulation.advance(seconds)))
                .withMaxTransformations(MAX_STEPS);
    }

    private static Action.Independent<LedgerSimulation> step(String name, int first, int second, int third, Step step) {
        Arbitrary<Transformer<LedgerSimulation>> transformers = Combinators.combine(
                        Arbitraries.integers().between(0, first - 1),
                        Arbitraries.integers().between(0, second - 1),
                        Arbitraries.integers().between(0, third - 1))
                .as((firstValue, secondValue, thirdValue) -> Transformer.mutate(
                        name + " " + firstValue + " " + secondValue + " " + thirdValue,
                        simulation -> step.apply(simulation, firstValue, secondValue, thirdValue)));
        return () -> transformers;
    }
}
