package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;

/**
 * Decides for each request whether this entry, if it is draining, still sends it to a target.
 *
 * <p>Invariant: all requests are admitted until the drain starts, and fewer the later it is. Confined to the event loop.
 */
final class DrainAdmission {

    /** Callers do not wait longer than this part of their time. */
    private static final int LONGEST_RETRY_DIVISOR = 3;

    private final MonotonicClock clock;
    private final DecisionLog log;
    private final AnswerTimes answerTimes = new AnswerTimes();
    private Optional<DrainRule> rule = Optional.empty();

    DrainAdmission(MonotonicClock clock, DecisionLog log) {
        this.clock = clock;
        this.log = log;
    }

    AnswerTimes answerTimes() {
        return answerTimes;
    }

    /** Applies a rule from now on. */
    void start(DrainRule newRule) {
        rule = Optional.of(newRule);
    }

    /**
     * Queries whether a request may be sent to a target now.
     *
     * <p>One that may not be repeated is sent only if its own limit ends before the exit, since nobody could tell whether it has run if it
     * were cut off; any other one, until callers reach other entries, if it is expected to end by then.
     *
     * @param request the request, not null
     * @param route its route, not null
     * @param limit the time after which the request ends in any case, not null
     * @return true if this entry does not drain, or if the request ends before the exit; a refusal is logged
     */
    boolean admits(GatewayRequest request, Route route, Duration limit) {
        if (rule.isEmpty()) {
            return true;
        }
        Duration expected =
                route.retryPolicy().allowsRerun() ? answerTimes.estimate(route, request.generation(), limit) : limit;
        if (rule.get().admits(expected, limit, clock.nanos())) {
            return true;
        }
        log.write(
                EventCode.DRAIN_DECIDED,
                request.id(),
                Field.of("route", route.name()),
                Field.of("expectedMillis", expected.toMillis()),
                Field.of("limitMillis", limit.toMillis()),
                Field.of("untilExitMillis", rule.get().untilExit(clock.nanos()).toMillis()));
        return false;
    }

    /**
     * Creates the refusal of a request that is not admitted. Its caller is told to come back once it reaches another entry, since at once
     * it may reach this one again.
     *
     * @param limit the time that the request has left, not null
     * @return the refusal, not null
     */
    Refusal refusal(Duration limit) {
        Duration longest = limit.dividedBy(LONGEST_RETRY_DIVISOR);
        Duration untilNoticed =
                rule.map(drain -> drain.untilNoticed(clock.nanos())).orElse(Duration.ZERO);
        return Refusal.withRetryAfter(
                ResultCode.DRAINING,
                "this entry ends before the request might",
                untilNoticed.compareTo(longest) < 0 ? untilNoticed : longest);
    }
}
