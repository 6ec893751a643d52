package org.geraniumreach.standins.engine;

import org.geraniumreach.standins.http.Answer;

/** Signals that the engine refuses an order. */
final class Refusal extends Exception {

    private final int status;
    private final String reason;
    private final boolean tookEffect;

    Refusal(int status, String reason, boolean tookEffect, String message) {
        super(message);
        this.status = status;
        this.reason = reason;
        this.tookEffect = tookEffect;
    }

    Answer toAnswer() {
        return Answer.failure(status, reason, tookEffect, getMessage());
    }
}
