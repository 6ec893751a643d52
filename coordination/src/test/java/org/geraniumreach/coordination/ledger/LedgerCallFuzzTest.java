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
 * The ledger against entries that crash, companions that restart or forget, and a table service that loses answers.
 *
 * <p>A longer run with a new seed: {@code mvn -pl coordination -am verify -Dtest=LedgerCallFuzzTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dgeraniumreach.fuzz.seconds=60 -Djqwik.tries.default=1000000}; a failure prints
 * its seed and the shrunk sequence.
 */
class LedgerCallFuzzTest {

    private static final int MAX_STEPS = 60;
    private static final long STARTED_AT_NANOS = System.nanoTime();

    /** Three integers of a step. */
    @FunctionalInterface
    private interface Step {
        void apply(LedgerSimulation world, int first, int second, int third);
    }

    // A caller sees a booking made twice if two entries send it, or a refusal saying "not run" for one that was made.
    // Two calls with one key meet at the row; in between come crashes, lost answers, late commits, restarts of
    // companions and frames that arrive late or twice. The oracle counts the runs that companions start for each key.
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
                        20, step("progress", 6, 8, 1, (world, call, outcome, none) -> world.progress(call, outcome)))
                .withAction(
                        5,
                        step(
                                "deliver",
                                4,
                                5,
                                4,
                                (world, frame, refusing, again) -> world.deliver(frame, refusing == 1, again == 1)))
                .withAction(
                        3,
                        step("finish", 2, 1, 1, (world, companion, none, nothing) -> world.finishAttempts(companion)))
                .withAction(
                        2,
                        step(
                                "crash",
                                LedgerSimulation.ENTRIES,
                                1,
                                1,
                                (world, entry, none, nothing) -> world.crashEntry(entry)))
                .withAction(
                        1,
                        step(
                                "restart",
                                2,
                                1,
                                1,
                                (world, companion, none, nothing) -> world.restartCompanion(companion)))
                .withAction(2, step("late commit", 3, 1, 1, (world, which, none, nothing) -> world.applyDelayed(which)))
                .withAction(2, step("pass", 90, 1, 1, (world, seconds, none, nothing) -> world.advance(seconds)))
                .withMaxTransformations(MAX_STEPS);
    }

    private static Action.Independent<LedgerSimulation> step(String name, int first, int second, int third, Step step) {
        Arbitrary<Transformer<LedgerSimulation>> transformers = Combinators.combine(
                        Arbitraries.integers().between(0, first - 1),
                        Arbitraries.integers().between(0, second - 1),
                        Arbitraries.integers().between(0, third - 1))
                .as((one, two, three) -> Transformer.mutate(
                        name + " " + one + " " + two + " " + three, world -> step.apply(world, one, two, three)));
        return () -> transformers;
    }
}
