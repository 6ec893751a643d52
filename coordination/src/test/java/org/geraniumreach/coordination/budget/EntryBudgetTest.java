package org.geraniumreach.coordination.budget;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryBudgetTest {

    private static final int ROUNDS = 10;
    private static final int ROUND_MILLIS = 400;
    private static final int ENTRIES = 3;
    private static final long MINIMUM_PARTS = ShareParts.WHOLE / 16;

    // Guards against an entry that keeps a whole share because its bucket is full. Each request at the other entries
    // would then depend on a loan, and a slow answer would refuse callers of an account that is hardly used.
    @Test
    void entryWithAFullBucketHandsOverAMinimumShareToTheEntriesWithDemand() {
        BudgetSimulation simulation = new BudgetSimulation();
        int holder = IntStream.range(0, ENTRIES)
                .filter(entry -> simulation.ownParts(entry) == ShareParts.WHOLE)
                .findFirst()
                .orElseThrow();
        List<Integer> others = IntStream.range(0, ENTRIES)
                .filter(entry -> entry != holder)
                .boxed()
                .toList();
        for (int round = 0; round < ROUNDS; round++) {
            others.forEach(entry -> simulation.reserve(entry, 1));
            simulation.runWithoutFaults();
            simulation.advance(ROUND_MILLIS);
        }
        assertThat(others).allSatisfy(entry -> assertThat(simulation.ownParts(entry))
                .isGreaterThanOrEqualTo(MINIMUM_PARTS * (ENTRIES - 1) / ENTRIES));
        simulation.admittedTokens.assertWithinRate();
    }
}
