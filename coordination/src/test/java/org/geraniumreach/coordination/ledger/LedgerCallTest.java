package org.geraniumreach.coordination.ledger;

import org.junit.jupiter.api.Test;

class LedgerCallTest {

    // Guards against a request that runs twice. The first entry is frozen after its commit took effect and before it
    // gets the answer. A second call has the attempt sealed and runs another one. When the first entry resumes a minute
    // later, the companion no longer retains the seal, so the entry must not send the attempt.
    @Test
    void attemptIsNotSentLongAfterItsCommit() {
        LedgerSimulation simulation = new LedgerSimulation(false);
        simulation.startCall(0, 0, 0);
        simulation.progressCall(0, 0);
        freezeFirstCallAndCompleteSecond(simulation);
        simulation.completeAllCalls();
    }

    // As above, but the first entry is frozen after its decision to send, which it cannot detect. The companion must
    // refuse the attempt by the time limit that it carries.
    @Test
    void companionRefusesAnAttemptThatArrivesLate() {
        LedgerSimulation simulation = new LedgerSimulation();
        simulation.startCall(0, 0, 0);
        simulation.progressCall(0, 0);
        simulation.progressCall(0, 0);
        freezeFirstCallAndCompleteSecond(simulation);
        simulation.completeAllCalls();
    }

    private static void freezeFirstCallAndCompleteSecond(LedgerSimulation simulation) {
        simulation.advance(25);
        simulation.startCall(1, 0, 0);
        simulation.completeCall(1);
        simulation.advance(70);
    }
}
