package org.geraniumreach.gateway.request;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.model.MonotonicClock;

/**
 * What the exchanges of one handler learn and decide together.
 *
 * <p>Confined to the event loop.
 *
 * @param outputLengths estimates how many tokens requests will generate
 * @param drain decides which requests are sent while the entry drains
 */
record HandlerState(OutputLengths outputLengths, DrainAdmission drain) {

    static HandlerState create(MonotonicClock clock, DecisionLog log) {
        return new HandlerState(new OutputLengths(), new DrainAdmission(clock, log));
    }
}
