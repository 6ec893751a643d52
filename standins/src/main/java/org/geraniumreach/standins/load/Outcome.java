package org.geraniumreach.standins.load;

import java.util.Objects;

/**
 * The outcome of one request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param verdict the verdict
 * @param code the name of the result code of an error, otherwise empty
 * @param ran what an error states about whether the request ran, otherwise empty
 * @param detail a readable description of the failure, otherwise empty
 * @param tokens the number of prompt and answer tokens if served, otherwise 0
 * @param body the body of the answer to a booking, otherwise empty
 */
record Outcome(Verdict verdict, String code, String ran, String detail, int tokens, String body) {

    Outcome {
        Objects.requireNonNull(verdict, "verdict");
    }

    /** The result of checking the answer to one request. */
    enum Verdict {
        /** The answer was complete and correct. */
        SERVED,
        /** An error stated that the request did not run. */
        REFUSED,
        /** An error or a broken connection left the request without a complete answer. */
        FAILED,
        /** The answer was incorrect. */
        WRONG
    }

    static Outcome served(int tokens, String body) {
        return new Outcome(Verdict.SERVED, "", "", "", tokens, body);
    }

    static Outcome wrong(String detail) {
        return new Outcome(Verdict.WRONG, "", "", detail, 0, "");
    }

    static Outcome failed(String detail) {
        return new Outcome(Verdict.FAILED, "", "unknown", detail, 0, "");
    }

    static Outcome error(String code, String ran, String detail) {
        Verdict verdict = "no".equals(ran) ? Verdict.REFUSED : Verdict.FAILED;
        return new Outcome(verdict, code, ran, detail, 0, "");
    }

    boolean isServed() {
        return verdict == Verdict.SERVED;
    }
}
