package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ResultCode;

/**
 * Ends the answer of one request, and logs why if it is not a target's whole answer.
 *
 * <p>Invariants: "not run" is answered only if no target may have begun the request. An answer that has begun is
 * aborted, never ended normally, unless it is whole. At most one method is called, once. Confined to the event loop.
 */
final class FinalAnswer {

    private static final int SERVICE_UNAVAILABLE = 503;

    private final CallerAnswer answer;
    private final AnswerRelay relay;
    private final RunHistory history;
    private final ExchangeLog log;

    /**
     * How an answer ended.
     *
     * @param kind the kind of the end
     * @param status the HTTP status that the caller received, 0 for none
     */
    record End(OutcomeListener.Kind kind, int status) {}

    FinalAnswer(CallerAnswer answer, AnswerRelay relay, RunHistory history, ExchangeLog log) {
        this.answer = answer;
        this.relay = relay;
        this.history = history;
        this.log = log;
    }

    /** Ends the answer with the result of the last attempt. */
    End complete() {
        relay.finish();
        return new End(OutcomeListener.Kind.ANSWERED, relay.status());
    }

    /** Ends the answer of a request that has not run. */
    End refuse(Refusal refusal, ExchangeLog.Progress progress) {
        log.logEnded(EventCode.REQUEST_REFUSED, refusal.code(), refusal.message(), progress);
        refusal.send(answer);
        return new End(OutcomeListener.Kind.REFUSED, refusal.code().httpStatus());
    }

    /** Ends the answer without the result of a whole attempt, reporting what is known about whether the request ran. */
    End giveUp(ResultCode notRunCode, String reason, Optional<Duration> retryAfter, ExchangeLog.Progress progress) {
        if (relay.isBegun()) {
            return interrupt(reason, progress);
        }
        if (relay.isServerErrorPending()) {
            return complete();
        }
        if (history.mayHaveRun()) {
            log.logEnded(EventCode.OUTCOME_UNKNOWN, ResultCode.OUTCOME_UNKNOWN, reason, progress);
            return fail(ResultCode.OUTCOME_UNKNOWN, "a target may have run the request");
        }
        ResultCode code = notRunCode.httpStatus() == SERVICE_UNAVAILABLE ? notRunCode : ResultCode.NOT_RUN;
        Refusal refusal = retryAfter
                .map(delay -> Refusal.withRetryAfter(code, reason, delay))
                .orElseGet(() -> Refusal.of(code, reason));
        return refuse(refusal, progress);
    }

    /** Ends the answer since the time for the request is up. */
    End expire(ExchangeLog.Progress progress) {
        if (relay.isBegun() || !history.mayHaveRun()) {
            return giveUp(ResultCode.NOT_RUN, "the time is up", Optional.of(Refusal.DEFAULT_RETRY_AFTER), progress);
        }
        log.logEnded(EventCode.REQUEST_FAILED, ResultCode.DEADLINE_EXCEEDED, "the time is up", progress);
        return fail(ResultCode.DEADLINE_EXCEEDED, "the time for the request is up");
    }

    private End interrupt(String reason, ExchangeLog.Progress progress) {
        log.logEnded(EventCode.REQUEST_FAILED, ResultCode.ANSWER_INTERRUPTED, reason, progress);
        answer.abort();
        return new End(OutcomeListener.Kind.CUT, relay.status());
    }

    private End fail(ResultCode code, String message) {
        Refusal.of(code, message).send(answer);
        return new End(OutcomeListener.Kind.FAILED, code.httpStatus());
    }
}
