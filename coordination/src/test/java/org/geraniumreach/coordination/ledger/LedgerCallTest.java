package org.geraniumreach.coordination.ledger;

import org.junit.jupiter.api.Test;

class LedgerCallTest {

    // A caller would see a booking made twice. The first entry's commit takes effect, and the entry is frozen before
    // it has the answer. A second call has the attempt sealed and runs another one. A minute later the companion has
    // forgotten the seal, and only then the first entry goes on. It must not send: it has been too long since its
    // commit.
    @Test
    void attemptIsNotSentLongAfterItsCommit() {
        LedgerSimulation world = new LedgerSimulation(false);
        world.startCall(0, 0, 0);
        world.progressCall(0, 0);
        freezeFirstCallAndCompleteSecond(world);
        world.completeAllCalls();
    }

    // As above, but the first entry is frozen after it has decided to send. Nothing at the entry can see that; the
    // time that the attempt carries lets the companion refuse it.
    @Test
    void companionRefusesAnAttemptThatArrivesLate() {
        LedgerSimulation world = new LedgerSimulation();
        world.startCall(0, 0, 0);
        world.progressCall(0, 0);
        world.progressCall(0, 0);
        freezeFirstCallAndCompleteSecond(world);
        world.completeAllCalls();
    }

    private static void freezeFirstCallAndCompleteSecond(LedgerSimulation world) {
        world.advance(25);
        world.startCall(1, 0, 0);
        world.completeCall(1);
        world.advance(70);
    }
}
