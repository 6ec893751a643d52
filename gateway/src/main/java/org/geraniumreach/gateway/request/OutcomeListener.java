package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.AccountId;

/**
 * Receives the outcome of each exchange.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface OutcomeListener {

    /**
     * Called when an exchange has ended.
     *
     * @param outcome the outcome, not null
     */
    void onOutcome(Outcome outcome);

    /**
     * The outcome of an exchange.
     *
     * @param id the id of the request
     * @param route the route of the request
     * @param account the client account that is charged, empty if none
     * @param kind the kind of outcome
     * @param status the HTTP status sent to the caller, 0 if none was
     * @param sends the number of times that the request was sent to a target
     * @param writes the writes to targets, and what is known of them
     * @param firstPart the time to the first part of the answer, empty if there was none
     * @param firstPartAfterSend the time from the last send to the first part, empty if there was none
     * @param waits the time spent waiting to be sent, by cause
     * @param maximumPause the longest time between two parts of the answer
     * @param total the time from receipt to the end
     */
    record Outcome(
            String id,
            Route route,
            Optional<AccountId> account,
            Kind kind,
            int status,
            int sends,
            String writes,
            Optional<Duration> firstPart,
            Optional<Duration> firstPartAfterSend,
            Waits waits,
            Duration maximumPause,
            Duration total) {}

    /** The kinds of outcome. */
    enum Kind {
        /** A target's answer was relayed completely. */
        ANSWERED,
        /** The request was refused and did not run. */
        REFUSED,
        /** The request failed after a target may have begun it. */
        FAILED,
        /** The answer was cut off after a part of it had been relayed. */
        CUT,
        /** The caller disconnected. */
        CALLER_GONE
    }
}
