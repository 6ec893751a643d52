package org.geraniumreach.standins.load;

import java.util.Objects;

/**
 * How one request ended.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param verdict the verdict
 * @param code the result code's name of an error, else empty
 * @param ran what an error says of whether the request ran, else empty
 * @param detail what was wrong, for a person
 * @param tokens the tokens of the prompt and of the answer that was served
 * @param body the answer's body of a booking, else empty
 */
record Outcome(Verdict verdict, String code, String ran, String detail, int tokens, String body) {

    Outcome {
        Objects.requireNonNull(verdict, "verdict");
    }

    /** The verdict on one request. */
    enum Verdict {
        /** The whole answer came, and it is the one due. */
        SERVED,
        /** An error said that the request did not run. */
        REFUSED,
        /** An error, or a broken connection, left the request without its whole answer. */
        FAILED,
        /** An answer came that is not the one due. */
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
