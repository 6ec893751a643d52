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

    private static final int STEPS = 60;
    private static final long STARTED = System.nanoTime();

    /** Three integers of a step. */
    @FunctionalInterface
    private interface Step {
        void apply(LedgerWorld world, int first, int second, int third);
    }

    // A caller sees a booking made twice if two entries send it, or a refusal saying "not run" for one that was made.
    // Two calls with one key meet at the row; in between come crashes, lost answers, late commits, restarts of
    // companions and frames that arrive late or twice. The oracle counts the runs that companions start for each key.
    @Property(seed = "4711", tries = 3000)
    void runsAtMostOnceAndSaysNotRunOnlyWhereTrue(@ForAll("chains") ActionChain<LedgerWorld> chain) {
        chain.run().settle();
    }

    @Property
    void holdsForNewSeedsAsLongAsAsked(@ForAll("chains") ActionChain<LedgerWorld> chain) {
        long seconds = Long.getLong("geraniumreach.fuzz.seconds", 0);
        if (System.nanoTime() - STARTED < Duration.ofSeconds(seconds).toNanos()) {
            chain.run().settle();
        }
    }

    @Provide
    Arbitrary<ActionChain<LedgerWorld>> chains() {
        return ActionChain.startWith(LedgerWorld::new)
                .withAction(3, step("start", LedgerWorld.ENTRIES, LedgerWorld.KEYS, 2, LedgerWorld::start))
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
                .withAction(3, step("finish", 2, 1, 1, (world, companion, none, nothing) -> world.finish(companion)))
                .withAction(
                        2,
                        step("crash", LedgerWorld.ENTRIES, 1, 1, (world, entry, none, nothing) -> world.crash(entry)))
                .withAction(1, step("restart", 2, 1, 1, (world, companion, none, nothing) -> world.restart(companion)))
                .withAction(2, step("late commit", 3, 1, 1, (world, which, none, nothing) -> world.applyDelayed(which)))
                .withAction(2, step("pass", 90, 1, 1, (world, seconds, none, nothing) -> world.pass(seconds)))
                .withMaxTransformations(STEPS);
    }

    private static Action.Independent<LedgerWorld> step(String name, int first, int second, int third, Step step) {
        Arbitrary<Transformer<LedgerWorld>> transformers = Combinators.combine(
                        Arbitraries.integers().between(0, first - 1),
                        Arbitraries.integers().between(0, second - 1),
                        Arbitraries.integers().between(0, third - 1))
                .as((one, two, three) -> Transformer.mutate(
                        name + " " + one + " " + two + " " + three, world -> step.apply(world, one, two, three)));
        return () -> transformers;
    }
}
