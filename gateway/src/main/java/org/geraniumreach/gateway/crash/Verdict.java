package org.geraniumreach.gateway.crash;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Whether a request may be sent, as far as the ends of targets under it are concerned.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param result the result
 * @param grounds what the result rests on, empty if nothing is under suspicion
 */
public record Verdict(Result result, Optional<Grounds> grounds) {

    static final Verdict ADMITTED = new Verdict(Result.ADMITTED, Optional.empty());
    static final Verdict HELD_FOR_CHECK = new Verdict(Result.HELD, Optional.empty());

    /** The possible results. */
    public enum Result {
        /** The request may be sent. */
        ADMITTED,
        /** The request may be sent as the only one with the suspect. */
        TRIAL,
        /** It will be known soon whether the request may be sent. */
        HELD,
        /** The request may not be sent. */
        REFUSED
    }

    /**
     * What a result rests on.
     *
     * @param key the suspect that decides
     * @param ends how many times targets have ended under the suspect since it was last sound
     * @param requests how many requests with it were at those targets
     * @param age the time since the last end
     * @param retryIn the time until the suspect is tried again, zero if it may be now
     */
    public record Grounds(SuspectKey key, int ends, int requests, Duration age, Duration retryIn) {}

    public Verdict {
        Objects.requireNonNull(result, "result");
        Objects.requireNonNull(grounds, "grounds");
    }

    static Verdict of(Result result, Grounds grounds) {
        return new Verdict(result, Optional.of(grounds));
    }

    /**
     * Queries whether the request may be sent.
     *
     * @return true if it may be sent now
     */
    public boolean isSendable() {
        return result == Result.ADMITTED || result == Result.TRIAL;
    }
}
