package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.traffic.Account;

/**
 * Reports how one request was answered, and how long that took.
 *
 * <p>Confined to the event loop.
 */
final class OutcomeReport {

    private static final int LOWEST_SERVER_ERROR = 500;

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final RunHistory history;
    private final AnswerRelay relay;

    OutcomeReport(ExchangeServices services, RoutedRequest request, RunHistory history, AnswerRelay relay) {
        this.services = services;
        this.request = request;
        this.history = history;
        this.relay = relay;
    }

    /** Records the time in which a target has answered, from which the time that a retry needs is estimated. */
    void recordAnswerTime() {
        boolean isPlainSuccess = request.promptTokens() == 0 && relay.status() < LOWEST_SERVER_ERROR;
        if (isPlainSuccess && history.sends() == 1) {
            relay.timeToFirstPart(history.lastSentAt().orElse(request.receivedAt()))
                    .ifPresent(time -> services.retryBudgets().recordAnswer(request.service(), time));
        }
    }

    /** Records how long a request took that was sent to a target. */
    void recordTimes(AnswerTimes times, FinalAnswer.End end) {
        Optional<GatewayRequest.Generation> generation = request.request().generation();
        Optional<Duration> firstPart = relay.timeToFirstPart(request.receivedAt());
        if (end.kind() == OutcomeListener.Kind.ANSWERED && end.status() < LOWEST_SERVER_ERROR) {
            times.record(request.route(), generation, firstPart, request.elapsed());
        } else {
            times.recordIncomplete(request.route(), generation, firstPart, request.elapsed());
        }
    }

    /** Reports the outcome of a request that has ended, with the time that it spent waiting to be sent. */
    void report(FinalAnswer.End end, Waits waits) {
        services.outcomes()
                .onOutcome(new OutcomeListener.Outcome(
                        request.request().id(),
                        request.route(),
                        request.account().map(Account::id),
                        end.kind(),
                        end.status(),
                        history.sends(),
                        history.describeWrites(),
                        relay.timeToFirstPart(request.receivedAt()),
                        timeToFirstPartAfterSend(),
                        waits,
                        relay.maximumPause(),
                        request.elapsed()));
    }

    /** Gets the time from the last sending to the first part, empty if an answer went on after it had begun. */
    private Optional<Duration> timeToFirstPartAfterSend() {
        OptionalLong lastSentAt = history.lastSentAt();
        return lastSentAt.isEmpty()
                ? Optional.empty()
                : relay.timeToFirstPart(lastSentAt.getAsLong()).filter(time -> !time.isNegative());
    }
}
