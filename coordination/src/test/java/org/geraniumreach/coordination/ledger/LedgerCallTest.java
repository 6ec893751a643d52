package org.geraniumreach.coordination.ledger;

import org.junit.jupiter.api.Test;

class LedgerCallTest {

    /** The commit takes effect, and its answer is lost. */
    private static final int LOST_ANSWER = 2;

    // A caller would see a booking made twice. The first entry puts its attempt into the row and is frozen before it
    // sends. A
    // second call has the attempt sealed and runs another one. A minute later the companion has forgotten the seal, and
    // only
    // then the first entry goes on. It must not send: it has been too long since its commit.
    @Test
    void anAttemptIsNotSentLongAfterItsCommit() {
        LedgerWorld world = new LedgerWorld();
        world.start(0, 0, 0);
        world.progressCall(0, LOST_ANSWER);
        world.pass(25);
        world.start(1, 0, 0);
        world.settleCall(1);
        world.pass(70);
        world.settle();
    }
}
