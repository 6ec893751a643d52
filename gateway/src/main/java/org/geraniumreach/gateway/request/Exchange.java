package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.crash.Verdict;
import org.geraniumreach.gateway.placement.PlacementDecision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerHead;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.retry.FailureCause;
import org.geraniumreach.gateway.retry.RequestArrivals;
import org.geraniumreach.gateway.retry.RetryDecision;
import org.geraniumreach.gateway.speed.PaceSample;
import org.geraniumreach.gateway.stream.Recording;
import org.geraniumreach.gateway.stream.StreamKey;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.ResultCode;

/**
 * Carries one request from its admission to its single final answer.
 *
 * <p>Invariants: at most one target works on the request; a silent attempt ends before the request is written to another one.
 * An answer consists of the parts of one attempt at a time. After an attempt that a target may have begun, another is made only
 * if the request may run again, and on no more targets than the route allows. A stream is resumed only after the last complete
 * event sent to the caller, at the software version that began it, under the head of its
 * first target. Confined to the event loop.
 */
final class Exchange {

    /** The time from the placement of a request after which its write has a line of its own. */
    private static final Duration NOTED_WRITE_DELAY = Duration.ofMillis(100);

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final Route route;
    private final CallerAnswer answer;
    private final OutputLengths outputLengths;
    private final DrainAdmission drain;
    private final Consumer<Exchange> onEnd;
    private final RunHistory history;
    private final SendTerms terms;
    private final SendConditions conditions;
    private final SendSteps steps;
    private final AnswerRelay relay;
    private final ExchangeLog log;
    private final FinalAnswer finalAnswer;
    private final OutcomeReport report;
    private final RequestArrivals arrivals;
    private Cancellable deadlineTimer = Cancellable.NOOP;
    private final RunningAttempts attempts;
    private Optional<FailureCause> lastFailure = Optional.empty();
    private Optional<Target> leftTarget = Optional.empty();
    private boolean admitted;
    private boolean ended;

    Exchange(
            ExchangeServices services,
            ReceivedRequest received,
            Route route,
            ServiceChoice choice,
            Optional<Account> account,
            HandlerState state,
            Consumer<Exchange> onEnd) {
        this.services = services;
        this.request = new RoutedRequest(
                received,
                route,
                choice.service(),
                account,
                state.outputLengths().expectedTokens(route, received.request().generation()),
                services.clock());
        this.outputLengths = state.outputLengths();
        this.drain = state.drain();
        this.route = route;
        this.answer = received.answer();
        this.onEnd = onEnd;
        this.history = new RunHistory(services, request, received.answer()::isCallerGone);
        this.terms = new SendTerms(services, request, history);
        this.conditions =
                new SendConditions(services.placement(), services.adapters(), services.rows(), request.adapter());
        this.steps = new SendSteps(services, request, conditions, new StepResults());
        choice.requiredVersion().ifPresent(steps.state()::requireVersion);
        this.attempts = new RunningAttempts(this::onReplaced);
        this.arrivals = services.retryBudgets()
                .receive(choice.service(), received.arrival().arrivedAt());
        this.relay = new AnswerRelay(answer, received.request().lastEvent(), services.answerMemory(), services.clock());
        this.log = new ExchangeLog(services.log(), services.clock(), request);
        this.finalAnswer = new FinalAnswer(answer, relay, history, log);
        this.report = new OutcomeReport(services, request, history, relay);
    }

    void start() {
        deadlineTimer = services.timers().schedule(request.remaining(), this::onDeadline);
        steps.start();
    }

    /** Handles the results of the steps before the request is sent. */
    private final class StepResults implements SendSteps.Listener {

        @Override
        public void onAdmitted() {
            admitted = true;
        }

        @Override
        public void onAboveRate(Duration retryAfter) {
            refuse(Refusal.withRetryAfter(
                    ResultCode.OUT_OF_BUDGET, "the client account is above its rate", retryAfter));
        }

        @Override
        public boolean isAvoided(Target target) {
            return isSilentToo(target);
        }

        @Override
        public boolean isSendAllowed(PlacementDecision placed) {
            if (placed.selectedTarget().filter(Exchange.this::isSilentToo).isPresent()) {
                giveUpUnlessAtTarget("the other target is silent as well", () -> {});
                return false;
            }
            return isGranted(decideRetry(placed));
        }

        @Override
        public void onSendable(PlacementDecision.Send send) {
            send(send);
        }

        @Override
        public void onSuspected(Verdict verdict) {
            stop(verdict);
        }

        @Override
        public void onUnplaceable(ResultCode code, String reason, Duration retryAfter) {
            giveUpUnlessAtTarget(reason, () -> giveUp(code, reason, Optional.of(retryAfter)));
        }
    }

    private void send(PlacementDecision.Send send) {
        if (refuseIfDraining()) {
            return;
        }
        Target target = send.target();
        if (isSilentToo(target)) {
            steps.place();
            return;
        }
        Optional<RetryDecision> retry = decideRetry(send);
        if (!isGranted(retry)) {
            return;
        }
        Verdict verdict = services.crashes().decideAndStartTrial(request::identity);
        if (!verdict.isSendable()) {
            sendLater(verdict);
            return;
        }
        verdict.grounds().ifPresent(grounds -> log.logSuspectDecided(verdict.result(), grounds));
        retry.ifPresent(decision -> log.logRetried(decision, lastFailure, progress()));
        WriteDecision grounds = history.decide(target, attempts.current().map(Attempt::run));
        if (!grounds.isPermitted()) {
            onWriteForbidden(target, grounds);
            return;
        }
        RunHistory.Run run = history.onSend(target);
        log.logPlaced(
                send,
                grounds,
                KnownState.of(services, request, target),
                progress(),
                request.account().map(request::quotaUnits).orElse(0.0));
        request.adapter().ifPresent(adapter -> send.alsoLoad()
                .ifPresent(other -> services.adapters().enqueue(other, adapter, Optional.empty(), false)));
        AttemptEvents events = new AttemptEvents(target);
        Recording recording = recordOrigin(target);
        if (recording.isSentToOthers()) {
            // Another entry may miss a later record, and would take the stream up at the version of this one.
            steps.state().preferVersion(target.description().softwareVersion());
        }
        Attempt newAttempt = new Attempt(
                services,
                run,
                arrivals.send(target),
                services.crashes().onSent(target, request::identity),
                steps.handOverAdmission(),
                request.request(),
                recording.isConfirmed() ? events : new HeldEvents(events, recording, events));
        events.attempt = newAttempt;
        addAttempt(newAttempt);
        newAttempt.start(
                terms.metadata(target, relay.resumeAfterNumber()), terms.maximumIdle(target), terms.silenceLimits());
    }

    /** Refuses a request that no target may have begun and that might outlast this process. */
    private boolean refuseIfDraining() {
        boolean isAtTarget = attempts.current().isPresent() || history.mayHaveRun();
        if (isAtTarget || drain.admits(request.request(), route, request.remaining())) {
            return false;
        }
        refuse(drain.refusal(request.remaining()));
        return true;
    }

    /** Called when this entry begins to drain. */
    void onDrainStarted() {
        if (!ended) {
            refuseIfDraining();
        }
    }

    /** Ends the request, or leaves it at a silent target, if it may not be written to another one. */
    private void onWriteForbidden(Target target, WriteDecision decision) {
        switch (decision.result()) {
            case TIME_UP -> {
                logWriteOmitted(target, decision);
                onDeadline();
            }
            case CALLER_GONE -> {
                logWriteOmitted(target, decision);
                onCallerGone();
            }
            default -> {
                log.logWriteForbidden(target, decision);
                giveUpUnlessAtTarget(
                        "the request may not be written again",
                        () -> giveUp(ResultCode.OUTCOME_UNKNOWN, "the request may not be written again"));
            }
        }
    }

    private void logWriteOmitted(Target target, WriteDecision decision) {
        log.logWriteOmitted(target, decision, KnownState.of(services, request, target), request.remaining());
    }

    /** Makes an attempt the current one, and keeps a silent one until the request can be written to the other target. */
    private void addAttempt(Attempt next) {
        Optional<Attempt> silent = attempts.current();
        attempts.add(next);
        // The record of a stream's origin names the version of the new target from now on.
        silent.filter(attempt -> beginsStream())
                .filter(attempt -> !attempt.target()
                        .description()
                        .softwareVersion()
                        .equals(next.target().description().softwareVersion()))
                .ifPresent(attempt -> attempts.endPredecessor());
    }

    private void onReplaced(Attempt silent) {
        leftTarget = Optional.of(silent.target());
        relay.discardAttempt();
        log.logAttemptFailed(silent, FailureCause.SILENT, "the target is silent", relay.lastEventNumber());
    }

    /** Allows the silent target again that the request was taken from, since the target that was to take it over has rejected it. */
    private void includeLeftTarget() {
        leftTarget.ifPresent(target -> steps.state().include(target.id()));
        leftTarget = Optional.empty();
    }

    /** Finds another target for a request whose current attempt is silent. */
    private void seekReplacement(FailureCause cause) {
        Target silent = attempts.current().orElseThrow().target();
        lastFailure = Optional.of(cause);
        steps.state().exclude(silent.id());
        Optional<String> obstacle = history.findObstacleToReplacement();
        if (obstacle.isPresent()) {
            log.logAttemptKept(silent, obstacle.get(), progress());
        } else {
            steps.place();
        }
    }

    /** Ends the request, or leaves it at a silent target, which may still answer it. */
    private void giveUpUnlessAtTarget(String reason, Runnable giveUp) {
        if (attempts.current().isEmpty()) {
            giveUp.run();
            return;
        }
        steps.stop();
        log.logAttemptKept(attempts.current().get().target(), reason, progress());
    }

    /** Queries whether a request would leave its silent target for another one that is silent. */
    private boolean isSilentToo(Target other) {
        return attempts.current().isPresent() && services.silences().isWithoutSign(other);
    }

    /** Places a request again that has come under suspicion while it waited for its turn. */
    private void sendLater(Verdict verdict) {
        if (verdict.result() == Verdict.Result.HELD) {
            steps.place();
            return;
        }
        stop(verdict);
    }

    /** Ends the exchange since the request may not be sent; callers are invited to return only if it is not yet known whether it may be. */
    private void stop(Verdict verdict) {
        verdict.grounds().ifPresent(grounds -> log.logSuspectDecided(verdict.result(), grounds));
        boolean held = verdict.result() == Verdict.Result.HELD;
        ResultCode code = held ? ResultCode.OVERLOADED : ResultCode.SUSPECTED;
        String reason = held
                ? "a request under suspicion is tried elsewhere"
                : "targets have ended under this request or a part of its prompt";
        Optional<Duration> retryAfter = held ? Optional.of(Refusal.DEFAULT_RETRY_AFTER) : Optional.empty();
        giveUpUnlessAtTarget(reason, () -> giveUp(code, reason, retryAfter));
    }

    /** Records what is about to begin a stream; one that goes on is known already. */
    private Recording recordOrigin(Target target) {
        return beginsStream()
                ? StreamKey.of(
                                request.account().map(Account::id),
                                request.request().id())
                        .map(key -> services.streams()
                                .begin(key, target, request.request().callerTimeout()))
                        .orElseGet(Recording::confirmed)
                : Recording.confirmed();
    }

    private boolean beginsStream() {
        return route.retryPolicy() == RetryPolicy.RESUMABLE_STREAM
                && !relay.isBegun()
                && !StreamResumption.isResumption(request.request(), route);
    }

    /** Decides on sending the request as it was placed; empty if that is no retry. */
    private Optional<RetryDecision> decideRetry(PlacementDecision placed) {
        return arrivals.mayHaveArrived()
                ? Optional.of(
                        services.retryBudgets().decide(request.service(), request.remaining(), expectedWait(placed)))
                : Optional.empty();
    }

    /**
     * Ends the exchange if a retry is not allowed now or is not answered in time, unless a target may still answer.
     *
     * <p>Asked when the request is placed, so that it does not wait in vain, and again when it is sent.
     */
    private boolean isGranted(Optional<RetryDecision> retry) {
        Optional<RetryDecision> denied = retry.filter(decision -> !decision.granted());
        denied.ifPresent(decision -> {
            log.logRetryDenied(decision, lastFailure, progress());
            String reason = "no retry is allowed now: " + decision.result();
            giveUpUnlessAtTarget(reason, () -> giveUp(ResultCode.OVERLOADED, reason));
        });
        return denied.isEmpty();
    }

    /** Gets the expected time to the first part; placement does not estimate it for requests without a prompt. */
    private Optional<Duration> expectedWait(PlacementDecision placed) {
        if (request.promptTokens() == 0) {
            return Optional.empty();
        }
        return Optional.of(
                placed instanceof PlacementDecision.Send send
                        ? Duration.ofMillis(send.expectedWaitMillis())
                        : Duration.ZERO);
    }

    /** Handles the events of one attempt. */
    private final class AttemptEvents implements Attempt.Listener, HeldEvents.Progress {
        private final Target target;
        private Attempt attempt;
        private Optional<WriteDecision> forbidden = Optional.empty();

        private AttemptEvents(Target target) {
            this.target = target;
        }

        @Override
        public boolean isAwaited() {
            return attempts.contains(attempt);
        }

        @Override
        public void cancel() {
            attempt.cancel();
        }

        /** Leaves the request at this attempt's target, which goes on although another was taking the request over. */
        private void takeBack() {
            if (attempts.isPredecessor(attempt)) {
                attempts.takeBack();
                log.logAttemptKept(target, "the target goes on", progress());
            }
        }

        @Override
        public boolean maySend() {
            WriteDecision decision = decideWrite();
            forbidden = Optional.of(decision).filter(result -> !result.isPermitted());
            if (decision.isPermitted() && attempt.sinceStart().compareTo(NOTED_WRITE_DELAY) >= 0) {
                log.logWriteDelayed(attempt, KnownState.of(services, request, target));
            }
            return decision.isPermitted();
        }

        /** Ends the other attempt only if the target may still be sent the request; otherwise that attempt may go on. */
        private WriteDecision decideWrite() {
            Optional<WriteDecision> overtaken = conditions.findObstacle(target).map(WriteDecision::forbidden);
            if (overtaken.isPresent()) {
                return overtaken.get();
            }
            attempts.keepOnly(attempt);
            return history.decideWrite(target);
        }

        @Override
        public void onForbidden() {
            WriteDecision decision = forbidden.orElseThrow();
            if (decision.isPlacedAgain()) {
                onOvertaken(decision);
                return;
            }
            attempts.remove(attempt);
            onWriteForbidden(target, decision);
        }

        /** Places the request again, whose target may no longer be sent it; the placement knows what forbids that. */
        private void onOvertaken(WriteDecision decision) {
            logWriteOmitted(target, decision);
            history.onOmitted(attempt.run());
            if (!isAtAnotherTarget(FailureCause.NOT_SENT)) {
                retryOrGiveUp(FailureCause.NOT_SENT, "not written: " + decision.result());
            }
        }

        @Override
        public void onSilent(Attempt.Silence silence) {
            if (attempts.isPredecessor(attempt)) {
                return;
            }
            log.logAttemptSilent(target, silence, progress());
            if (!steps.isPlacing()) {
                seekReplacement(FailureCause.SILENT);
            }
        }

        @Override
        public void onResumed() {
            takeBack();
            steps.stop();
            steps.state().include(target.id());
        }

        @Override
        public void onNotExecuted(NotExecuted reason) {
            log.logNotExecuted(attempt, reason, history.writesTo(target));
            if (reason == NotExecuted.NOT_RESIDENT) {
                request.adapter()
                        .filter(adapter -> attempt.isOfResidentVersion())
                        .ifPresent(adapter ->
                                target.learnAbsent(adapter, services.clock().nanos()));
            } else if (isReplacingVersion()) {
                steps.state().include(target.id());
            } else {
                steps.state().exclude(target.id());
            }
            if (reason == NotExecuted.ANOTHER_TARGET) {
                services.registry().removeEnded(target);
            }
            if (!isAtAnotherTarget(FailureCause.of(reason))) {
                includeLeftTarget();
                retryOrGiveUp(FailureCause.of(reason), "not executed: " + reason);
            }
        }

        /** Queries whether the target had the request at a version that may no longer be used, and may soon hold the newest one. */
        private boolean isReplacingVersion() {
            return request.adapter()
                    .filter(adapter ->
                            attempt.isOfOlderVersion(services.adapters().minimumVersion(adapter)))
                    .isPresent();
        }

        /** Counts a failure; a target that stands still accepts no connection either. */
        private void recordFailure(FailureCause cause) {
            if (cause == FailureCause.NOT_SENT) {
                services.silences().onSilence(target, request.request().id());
            } else {
                services.health().onFailure(target.id());
            }
        }

        /** Ends this attempt; returns whether the request goes on at the silent target, or at the one that takes it over. */
        private boolean isAtAnotherTarget(FailureCause cause) {
            boolean replaced = attempts.isPredecessor(attempt);
            attempts.remove(attempt);
            if (replaced) {
                // What has been received of its answer must not be taken for a whole one if no other follows.
                relay.discardAttempt();
            } else if (attempts.current().isPresent()) {
                seekReplacement(cause);
            }
            return attempts.current().isPresent();
        }

        @Override
        public boolean onHead(TargetAnswerHead head) {
            takeBack();
            return relay.onHead(head);
        }

        @Override
        public boolean onPart(byte[] part) {
            takeBack();
            boolean wasBegun = relay.isBegun();
            boolean accepted = relay.onPart(part);
            if (!wasBegun && relay.isBegun()) {
                history.onStreamBegun(target);
                steps.state().requireVersion(target.description().softwareVersion());
            }
            return accepted;
        }

        @Override
        public void onEnd() {
            takeBack();
            attempts.remove(attempt);
            relay.eventInterval().ifPresent(interval -> services.paces().onStream(target, new PaceSample(interval)));
            if (!relay.isComplete()) {
                onFailed(FailureCause.BROKEN, "the stream ended within an event");
                return;
            }
            if (relay.isServerErrorPending()) {
                services.health().onFailure(target.id());
                steps.state().exclude(target.id());
                if (history.mayRunAgain()) {
                    retryOrGiveUp(FailureCause.SERVER_ERROR, "the target failed");
                    return;
                }
            } else {
                services.health().onSuccess(target.id());
                outputLengths.recordEvents(route, relay.lastEventNumber());
            }
            FinalAnswer.End end = finalAnswer.complete();
            report.recordAnswerTime();
            finish(end);
        }

        @Override
        public void onFailed(FailureCause cause, String reason) {
            if (cause.isOfTarget()) {
                recordFailure(cause);
                steps.state().exclude(target.id());
            } else {
                steps.state().include(target.id());
            }
            log.logAttemptFailed(attempt, cause, reason, relay.lastEventNumber());
            if (isAtAnotherTarget(cause)) {
                return;
            }
            relay.discardAttempt();
            if (!history.isOriginCertain()) {
                giveUp(ResultCode.STREAM_ORIGIN_UNKNOWN, "the target has started again with another software version");
                return;
            }
            if (!cause.mayHaveRun() || history.mayRunAgain()) {
                retryOrGiveUp(cause, reason);
                return;
            }
            giveUp(ResultCode.OUTCOME_UNKNOWN, reason);
        }
    }

    private void retryOrGiveUp(FailureCause cause, String reason) {
        lastFailure = Optional.of(cause);
        if (history.maySendAgain()) {
            steps.place();
            return;
        }
        giveUp(ResultCode.OVERLOADED, reason);
    }

    /** Ends the exchange at once without a complete answer, reporting what is known about whether the request ran. */
    private void giveUp(ResultCode notRunCode, String reason) {
        giveUp(notRunCode, reason, Optional.of(Refusal.DEFAULT_RETRY_AFTER));
    }

    private void giveUp(ResultCode notRunCode, String reason, Optional<Duration> retryAfter) {
        if (!ended) {
            finish(finalAnswer.giveUp(notRunCode, reason, retryAfter, progress()));
        }
    }

    private void refuse(Refusal refusal) {
        finish(finalAnswer.refuse(refusal, progress()));
    }

    private ExchangeLog.Progress progress() {
        return new ExchangeLog.Progress(
                admitted,
                history.sends(),
                history::describeWrites,
                request.elapsed(),
                steps.waits(),
                relay.lastEventNumber());
    }

    /** Gets the time at which the request's time ends, in nanoseconds of the clock. */
    long endsAt() {
        return request.endsAt();
    }

    /** Ends the request since its time is up. */
    void onDeadline() {
        if (ended) {
            return;
        }
        abandonAttempt();
        finish(finalAnswer.expire(progress()));
    }

    /** Gets the attempts whose targets have not begun the request and hold an older version of an adapter than the given one. */
    List<Attempt> attemptsAwaiting(AdapterName adapter, long version) {
        boolean concerned = !ended && request.adapter().filter(adapter::equals).isPresent();
        return concerned
                ? attempts.all().stream()
                        .filter(attempt -> attempt.awaitsOlderVersion(version))
                        .toList()
                : List.of();
    }

    /** Queries whether targets show that they have begun a request, or a further run does no harm. */
    boolean mayBeTakenBack() {
        return route.retryPolicy().isStream() || route.retryPolicy().allowsRerun();
    }

    private void abandonAttempt() {
        if (attempts.current().isEmpty()) {
            return;
        }
        attempts.cancelAll();
        // What has been received of an answer must not be taken for a whole one.
        relay.discardAttempt();
    }

    /** Stops the request, wherever it is on its way, if it is refused now and its answer has not begun. */
    void onRefusalsChanged() {
        if (ended || relay.isBegun()) {
            return;
        }
        Verdict verdict = services.crashes().decide(request::identity);
        if (verdict.result() != Verdict.Result.REFUSED) {
            return;
        }
        abandonAttempt();
        stop(verdict);
    }

    /** Ends the request at once, because this entry cannot go on with it. */
    void abandon(Refusal notRun) {
        abandonAttempt();
        giveUp(notRun.code(), notRun.message(), notRun.retryAfter());
    }

    /** Breaks the answer off, without regard to anything else. */
    void abort() {
        ended = true;
        answer.abort();
        steps.stop();
        relay.release();
    }

    String requestId() {
        return request.request().id();
    }

    Optional<AccountId> accountId() {
        return request.account().map(Account::id);
    }

    boolean mayHaveRun() {
        return history.mayHaveRun();
    }

    void onCallerGone() {
        if (ended) {
            return;
        }
        attempts.cancelAll();
        log.logCallerGone(progress());
        finish(new FinalAnswer.End(OutcomeListener.Kind.CALLER_GONE, 0));
    }

    private void finish(FinalAnswer.End end) {
        if (ended) {
            return;
        }
        ended = true;
        history.onEnded();
        deadlineTimer.cancel();
        steps.stop();
        relay.release();
        if (history.sends() > 0) {
            report.recordTimes(drain.answerTimes(), end);
        }
        report.report(end, steps.waits());
        onEnd.accept(this);
    }
}
