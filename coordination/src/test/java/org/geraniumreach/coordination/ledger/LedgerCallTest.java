package org.geraniumreach.coordination.ledger;

import org.junit.jupiter.api.Test;

class LedgerCallTest {

    // A caller would see a booking made twice. The first entry's commit takes effect, and the entry is frozen before
    // it has the answer. A second call has the attempt sealed and runs another one. A minute later the companion has
    // forgotten the seal, and only then the first entry goes on. It must not send: it has been too long since its
    // commit.
    @Test
    void anAttemptIsNotSentLongAfterItsCommit() {
        LedgerWorld world = new LedgerWorld(false);
        world.start(0, 0, 0);
        world.progressCall(0, 0);
        freezeTheFirstAndRunTheSecond(world);
        world.settle();
    }

    // As above, but the first entry is frozen after it has decided to send. Nothing at the entry can see that; the
    // time that the attempt carries lets the companion refuse it.
    @Test
    void anAttemptThatComesLateIsRefusedByItsCompanion() {
        LedgerWorld world = new LedgerWorld();
        world.start(0, 0, 0);
        world.progressCall(0, 0);
        world.progressCall(0, 0);
        freezeTheFirstAndRunTheSecond(world);
        world.settle();
    }

    private static void freezeTheFirstAndRunTheSecond(LedgerWorld world) {
        world.pass(25);
        world.start(1, 0, 0);
        world.settleCall(1);
        world.pass(70);
    }
}
