package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.AccountId;

/**
 * Is told how exchanges end.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface OutcomeListener {

    /**
     * Tells of an end.
     *
     * @param outcome the end, not null
     */
    void onOutcome(Outcome outcome);

    /**
     * How an exchange ended.
     *
     * @param id the request's id
     * @param route its route
     * @param account the client account that it counts for, empty if none
     * @param kind the kind of end
     * @param status the status sent, 0 if none was
     * @param arrivals how often the request was sent to a target
     * @param firstPart the time to the first part of the answer, empty if there was none
     * @param firstPartAfterSend the time from the last sending to a target to the first part, empty if there was none
     * @param waits how long it was kept from being sent, by cause
     * @param longestPause the longest time between two parts
     * @param total the time to the end
     */
    record Outcome(
            String id,
            Route route,
            Optional<AccountId> account,
            Kind kind,
            int status,
            int arrivals,
            Optional<Duration> firstPart,
            Optional<Duration> firstPartAfterSend,
            Waits waits,
            Duration longestPause,
            Duration total) {}

    /** The kinds of end. */
    enum Kind {
        /** A target's answer was passed on whole. */
        ANSWERED,
        /** Refused, and not run. */
        REFUSED,
        /** Failed after a target may have begun it. */
        FAILED,
        /** An answer was cut after its beginning had been passed on. */
        CUT,
        /** The caller went away. */
        CALLER_GONE
    }
}
