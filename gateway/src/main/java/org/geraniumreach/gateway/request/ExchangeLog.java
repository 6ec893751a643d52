package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.geraniumreach.gateway.crash.Verdict;
import org.geraniumreach.gateway.placement.PlacementDecision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.retry.FailureCause;
import org.geraniumreach.gateway.retry.RetryDecision;
import org.geraniumreach.gateway.speed.TargetSpeed;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.ConnectionUse;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.TargetId;

/**
 * Writes the decisions of one exchange to the log, with the values that led to them.
 *
 * <p>Invariant: of a request that is sent more than once, the further writes, all rejections and failures of attempts, and the end are
 * retained lines; the end names all writes. Immutable; confined to the event loop like the exchange.
 */
final class ExchangeLog {

    private final DecisionLog log;
    private final MonotonicClock clock;
    private final String id;
    private final String service;
    private final String account;
    private final String adapter;
    private final String firstAttempt;
    private final Duration unread;
    private final Duration queued;

    /**
     * The progress of an exchange.
     *
     * @param admitted whether it was admitted under its account's rate
     * @param sends the number of times that it was sent to a target
     * @param writes describes its writes to targets, and what is known of them
     * @param elapsed the time since it was read
     * @param waits the time spent waiting, by cause
     * @param lastEvent the number of the last event that the caller has, 0 if it has none
     */
    record Progress(
            boolean admitted, int sends, Supplier<String> writes, Duration elapsed, Waits waits, long lastEvent) {}

    ExchangeLog(DecisionLog log, MonotonicClock clock, RoutedRequest routed) {
        GatewayRequest request = routed.request();
        this.log = log;
        this.clock = clock;
        this.id = request.id();
        this.service = routed.service();
        this.account = routed.account().map(Account::id).map(AccountId::value).orElse("");
        this.unread = routed.arrival().unread();
        this.queued = routed.queued();
        this.adapter = request.generation()
                .flatMap(GatewayRequest.Generation::adapter)
                .map(AdapterName::adapter)
                .orElse("");
        this.firstAttempt = request.firstAttempt().orElse("");
    }

    void logPlaced(
            PlacementDecision.Send send, WriteDecision grounds, KnownState known, Progress progress, double units) {
        Target target = send.target();
        Stream<Field> fields = Stream.of(
                Field.of("target", target.id().value()),
                Field.of(
                        "softwareVersion",
                        target.description().softwareVersion().value()),
                Field.of("reason", send.reason()),
                Field.of("adapter", adapter),
                Field.of("arrival", progress.sends()),
                Field.of("grounds", grounds.result()),
                Field.of("rejectedBy", grounds.rejectedBy().map(TargetId::value).orElse("")),
                Field.of("account", account),
                Field.of("units", units),
                Field.of("expectedWaitMillis", send.expectedWaitMillis()),
                Field.of("outstanding", target.outstanding()),
                Field.of("reported", target.reportedLoad()),
                Field.of(
                        "reportAgeMillis",
                        target.reportAge(clock.nanos()).map(Duration::toMillis).orElse(-1L)),
                Field.of("waitedMillis", progress.elapsed().toMillis()),
                Field.of("unreadMillis", unread.toMillis()),
                Field.of("queuedMillis", queued.toMillis()));
        log.writeRetainedIf(
                grounds.result() != WriteDecision.Result.FIRST,
                EventCode.REQUEST_PLACED,
                id,
                progress.waits()
                        .appendTo(
                                Stream.of(fields, known.fields(), speedFields(send.speed()), resumptionFields(progress))
                                        .flatMap(Function.identity())
                                        .toArray(Field[]::new)));
    }

    private Stream<Field> resumptionFields(Progress progress) {
        return progress.lastEvent() > 0
                ? Stream.of(Field.of("lastEvent", progress.lastEvent()), Field.of("firstAttempt", firstAttempt))
                : Stream.empty();
    }

    private static Stream<Field> speedFields(TargetSpeed speed) {
        return speed.known()
                ? Stream.of(Field.of("relativeRate", speed.relativeRate()), Field.of("slowdown", speed.slowdown()))
                : Stream.empty();
    }

    void logSuspectDecided(Verdict.Result result, Verdict.Grounds grounds) {
        log.write(
                EventCode.SUSPECT_DECIDED,
                id,
                Field.of("result", result),
                Field.of("suspect", grounds.key().toString()),
                Field.of("ends", grounds.ends()),
                Field.of("requests", grounds.requests()),
                Field.of("ageMillis", grounds.age().toMillis()),
                Field.of("retryInMillis", grounds.retryIn().toMillis()));
    }

    void logWriteForbidden(Target target, WriteDecision decision) {
        log.writeRetained(
                EventCode.WRITE_FORBIDDEN,
                id,
                Field.of("target", target.id().value()),
                Field.of("result", decision.result()));
    }

    void logWriteOmitted(Target target, WriteDecision decision, KnownState known, Duration remaining) {
        Stream<Field> grounds = Stream.of(
                Field.of("target", target.id().value()),
                Field.of("result", decision.result()),
                Field.of("remainingMillis", remaining.toMillis()),
                Field.of("unreadMillis", unread.toMillis()),
                Field.of("queuedMillis", queued.toMillis()));
        log.writeRetained(
                EventCode.WRITE_OMITTED,
                id,
                Stream.concat(grounds, known.fields()).toArray(Field[]::new));
    }

    /** Logs what is known at a write that comes long after the placement, whose line tells what was known then. */
    void logWriteDelayed(Attempt attempt, KnownState known) {
        Stream<Field> delay = Stream.of(
                Field.of("target", attempt.target().id().value()),
                Field.of("delayMillis", attempt.sinceStart().toMillis()));
        log.write(
                EventCode.WRITE_DELAYED,
                id,
                Stream.concat(delay, known.fields()).toArray(Field[]::new));
    }

    /** Logs a rejection; one on a connection that has carried the request before may be a copy of an earlier one. */
    void logNotExecuted(Attempt attempt, NotExecuted reason, int writes) {
        log.writeRetained(
                EventCode.ATTEMPT_NOT_EXECUTED,
                id,
                withConnection(
                        attempt,
                        Field.of("target", attempt.target().id().value()),
                        Field.of("reason", reason),
                        Field.of("afterMillis", attempt.sinceStart().toMillis()),
                        Field.of("writesToTarget", writes)));
    }

    /** Adds the connection of an attempt, 0 for one that was not written. */
    private static Field[] withConnection(Attempt attempt, Field... fields) {
        Optional<ConnectionUse> use = attempt.run().connection();
        return Stream.concat(
                        Arrays.stream(fields),
                        Stream.of(
                                Field.of(
                                        "address",
                                        attempt.target().description().address().toString()),
                                Field.of(
                                        "connection",
                                        use.map(ConnectionUse::connection).orElse(0L)),
                                Field.of(
                                        "earlierCalls",
                                        use.map(ConnectionUse::earlierCalls).orElse(0))))
                .toArray(Field[]::new);
    }

    void logAttemptFailed(Attempt attempt, FailureCause cause, String reason, long lastEventNumber) {
        log.writeRetained(
                EventCode.ATTEMPT_FAILED,
                id,
                withConnection(
                        attempt,
                        Field.of("target", attempt.target().id().value()),
                        Field.of("mayHaveRun", cause.mayHaveRun()),
                        Field.of("cause", cause),
                        Field.of("reason", reason),
                        Field.of("lastEvent", lastEventNumber)));
    }

    void logAttemptSilent(Target target, Attempt.Silence silence, Progress progress) {
        log.write(
                EventCode.ATTEMPT_SILENT,
                id,
                Field.of("target", target.id().value()),
                Field.of("silentMillis", silence.length().toMillis()),
                Field.of("targetSilent", silence.ofWholeTarget()),
                Field.of(
                        "targetSilentMillis",
                        Duration.ofNanos(clock.nanos() - target.lastSignAt()).toMillis()),
                Field.of("lastEvent", progress.lastEvent()));
    }

    void logAttemptKept(Target target, String reason, Progress progress) {
        log.write(
                EventCode.ATTEMPT_KEPT,
                id,
                Field.of("target", target.id().value()),
                Field.of("reason", reason),
                Field.of("lastEvent", progress.lastEvent()),
                Field.of("afterMillis", progress.elapsed().toMillis()));
    }

    void logRetried(RetryDecision decision, Optional<FailureCause> lastFailure, Progress progress) {
        log.write(EventCode.ATTEMPT_RETRIED, id, retryFields(decision, lastFailure, progress));
    }

    void logRetryDenied(RetryDecision decision, Optional<FailureCause> lastFailure, Progress progress) {
        log.write(
                EventCode.RETRY_DENIED,
                id,
                Stream.concat(
                                Stream.of(Field.of("result", decision.result())),
                                Arrays.stream(retryFields(decision, lastFailure, progress)))
                        .toArray(Field[]::new));
    }

    private Field[] retryFields(RetryDecision decision, Optional<FailureCause> lastFailure, Progress progress) {
        Stream<Field> cause = lastFailure.stream().map(failure -> Field.of("cause", failure));
        Stream<Field> figures = Stream.of(
                Field.of("service", service),
                Field.of("arrival", progress.sends() + 1),
                Field.of("windowRequests", decision.requests()),
                Field.of("windowRetries", decision.retries()),
                Field.of("unresolvedRetries", decision.unresolvedRetries()),
                Field.of("extraRetries", decision.extraRetries()),
                Field.of("remainingMillis", decision.remaining().toMillis()),
                Field.of("neededMillis", decision.needed().toMillis()));
        return Stream.concat(cause, figures).toArray(Field[]::new);
    }

    void logEnded(EventCode event, ResultCode code, String reason, Progress progress) {
        Stream<Field> grounds = Stream.of(
                Field.of("code", code),
                Field.of("reason", reason),
                Field.of("admitted", progress.admitted()),
                Field.of("account", account),
                Field.of("service", service),
                Field.of("adapter", adapter));
        log.writeRetainedIf(
                progress.sends() > 1,
                event,
                id,
                progress.waits()
                        .appendTo(Stream.concat(grounds, endFields(progress)).toArray(Field[]::new)));
    }

    void logCallerGone(Progress progress) {
        log.writeRetainedIf(
                progress.sends() > 1,
                EventCode.CALLER_GONE,
                id,
                endFields(progress).toArray(Field[]::new));
    }

    private Stream<Field> endFields(Progress progress) {
        return Stream.of(
                Field.of("arrivals", progress.sends()),
                Field.of("writes", progress.writes().get()),
                Field.of("afterMillis", progress.elapsed().toMillis()),
                Field.of("unreadMillis", unread.toMillis()),
                Field.of("queuedMillis", queued.toMillis()));
    }
}
