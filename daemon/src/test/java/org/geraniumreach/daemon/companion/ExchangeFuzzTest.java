package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.statistics.Statistics;

class ExchangeFuzzTest {

    /** One step of the world: what happens, and to which of the things that it can happen to. */
    private static void step(ExchangeSimulation world, int number) {
        int kind = number % 32;
        int choice = number / 32;
        switch (kind) {
            case 0, 1, 2 -> world.send(choice % 130, choice % 3 != 0, choice % 9);
            case 3, 4 -> world.request(choice, 1 + choice % 5);
            case 5, 6, 7, 8, 9, 10 -> world.deliverToCompanion(choice, 0, false);
            case 11 -> world.deliverToCompanion(choice, 1, false);
            case 12 -> world.deliverToCompanion(choice, 0, true);
            case 13, 14, 15, 16, 17 -> world.deliverToEntry(0);
            case 18 -> world.deliverToEntry(1);
            case 19 -> world.duplicateToEntry();
            case 20, 21 -> world.startNext();
            case 22, 23, 24, 25 -> world.continueAttempt(choice);
            case 26 -> world.advance(Duration.ofMillis(choice % 3_000));
            case 27 -> world.reconnect();
            case 28 -> world.companionSeesNewLink();
            case 29 -> world.cancel(choice);
            case 30 -> world.seal(choice);
            default -> {
                if (choice % 5 == 0) {
                    world.restartCompanion();
                } else {
                    world.advance(Duration.ofSeconds(choice % 20));
                }
            }
        }
    }

    @Property(seed = "20261203", tries = 1500)
    void everyCallerGetsItsOwnAnswerOnceAndNothingStartsTwice(
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 31_999) Integer> steps) {
        exchange(steps);
    }

    @Property(seed = "987654321", tries = 4000)
    void seedInWhichAnOldLinkWasReadForMinutesAfterTheNewOne(
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 31_999) Integer> steps) {
        // The caller was told "not run", and the attempt started at try 3905. Its Run lay in an old link that the
        // companion read again long after it had read the new one, when the seal had been forgotten. A companion
        // closes its old link at the new one's Hello, so that frames of both are read together for a moment only; the
        // world now holds to that.
        exchange(steps);
    }

    private static void exchange(List<Integer> steps) {
        // Frames are delayed, doubled and overtake each other, links are lost at one end and later at the other,
        // attempts are cancelled and sealed, and the companion restarts, in any order. Without sequence numbers a
        // caller would get a chunk twice or another's; without the attempt table a late Run would start what was said
        // not to run.
        ExchangeSimulation world = new ExchangeSimulation();
        for (int number : steps) {
            step(world, number);
            world.check();
        }
        world.settle();
        world.checkSettled();
        Statistics.collect(world.completeAnswers() > 0 ? "some whole answers" : "no whole answer");
    }
}
