package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.PlacementDecision;
import org.geraniumreach.gateway.placement.PlacementRequest;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerHead;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.port.TargetPort;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.gateway.retry.RetryDecision;
import org.geraniumreach.gateway.speed.PaceSample;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.TargetId;

/**
 * Carries one request from its admission to its single final answer.
 *
 * <p>Invariants: at most one attempt is in progress. After an attempt that a target may have begun, another is made
 * only if the request may run again, and on no more targets than the route allows. "Not run" is answered only if no
 * target may have begun the request. A stream is resumed only after the last complete event sent to the caller, under
 * the head of its first target. An interrupted answer is aborted, never ended normally. Confined to the event loop.
 */
final class Exchange {

    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(700);
    private static final int URGENCY_STEPS_PER_ACCOUNT_PRIORITY = 3;
    private static final int MAXIMUM_ROUTE_PRIORITY = 2;
    private static final int LOWEST_URGENCY = 9;
    private static final int LOWEST_SERVER_ERROR = 500;

    private final ExchangeServices services;
    private final GatewayRequest request;
    private final Route route;
    private final String service;
    private final Optional<Account> account;
    private final CallerAnswer answer;
    private final Consumer<Exchange> onEnd;
    private final long startedAt;
    private final Duration timeLimit;
    private final Set<TargetId> excludedTargets = new HashSet<>();
    private final Set<TargetId> possiblyRunTargets = new HashSet<>();
    private final LoadWait loadWait;
    private final SendPermission permission;
    private final AdmissionAttempts admissionAttempts = new AdmissionAttempts();
    private final AnswerRelay relay;
    private final ExchangeLog log;
    private final WaitClock waitClock = new WaitClock();
    private Cancellable deadlineTimer = Cancellable.NOOP;
    private Cancellable pendingAdmission = Cancellable.NOOP;
    private Cancellable waitTimer = Cancellable.NOOP;
    private Cancellable adapterWait = Cancellable.NOOP;
    private Optional<Attempt> attempt = Optional.empty();

    private OptionalLong lastSentAt = OptionalLong.empty();
    private int sends;
    private boolean admitted;
    private boolean ended;

    Exchange(
            ExchangeServices services,
            ReceivedRequest received,
            Route route,
            String service,
            Optional<Account> account,
            Consumer<Exchange> onEnd) {
        this.services = services;
        this.request = received.request();
        this.route = route;
        this.service = service;
        this.account = account;
        this.answer = received.answer();
        this.onEnd = onEnd;
        this.startedAt = received.receivedAt();
        this.timeLimit = route.effectiveTimeout(request.callerTimeout());
        ExchangeSettings settings = services.settings();
        this.loadWait =
                new LoadWait(settings.loadWaitLimit(timeLimit, route.latencyObjective()), settings.slowLoadThreshold());
        this.permission = new SendPermission(services.limiter(), services.clock());
        this.relay = new AnswerRelay(answer, request.lastEvent(), services.clock());
        this.log = new ExchangeLog(services.log(), services.clock(), request, service, account.map(Account::id));
    }

    void start() {
        deadlineTimer = services.timers().schedule(remaining(), this::onDeadline);
        requestQuota();
    }

    private Duration elapsed() {
        return Duration.ofNanos(services.clock().nanos() - startedAt);
    }

    private Duration remaining() {
        return timeLimit.minus(elapsed());
    }

    private void requestQuota() {
        if (account.isEmpty()) {
            onAdmitted();
            return;
        }
        waitClock.startWait(WaitCause.RATE, services.clock().nanos());
        pendingAdmission =
                services.quotas().admit(account.get(), quotaUnits(account.get()), timeLimit, this::onQuotaDecision);
    }

    private void onQuotaDecision(Quotas.Admission decision) {
        if (ended) {
            return;
        }
        if (!decision.admitted()) {
            refuse(Refusal.withRetryAfter(
                    ResultCode.OUT_OF_BUDGET,
                    "the client account is above its rate",
                    decision.delay().orElse(DEFAULT_RETRY_AFTER)));
            return;
        }
        Duration delay = decision.delay().orElse(Duration.ZERO);
        if (delay.isZero()) {
            onAdmitted();
        } else {
            waitTimer = services.timers().schedule(delay, this::onAdmitted);
        }
    }

    private double quotaUnits(Account charged) {
        if (!charged.countsTokens()) {
            return 1;
        }
        return request.generation().map(GatewayRequest.Generation::quotaTokens).orElse(charged.defaultUnits());
    }

    private void onAdmitted() {
        admitted = true;
        adapter().ifPresent(adapter -> services.placement().recordRequest(adapter, promptTokens()));
        place();
    }

    private Optional<AdapterName> adapter() {
        return request.generation().flatMap(GatewayRequest.Generation::adapter);
    }

    private void place() {
        if (ended || attempt.isPresent()) {
            return;
        }
        waitTimer.cancel();
        waitClock.stopWait(services.clock().nanos());
        if (remaining().compareTo(services.settings().minimumRemaining()) < 0) {
            return;
        }
        PlacementDecision decision = services.placement().place(placementRequest());
        boolean hasTarget = !(decision instanceof PlacementDecision.Unplaceable);
        if (hasTarget && !isSendAllowed(decision)) {
            return;
        }
        if (decision instanceof PlacementDecision.Send send) {
            adapterWait.cancel();
            requestTargetAdmission(send);
        } else if (decision instanceof PlacementDecision.Load load) {
            adapterWait.cancel();
            requestPermission(load.target(), () -> awaitAdapter(load.target()));
        } else if (decision instanceof PlacementDecision.Defer defer) {
            adapterWait.cancel();
            waitClock.startWait(WaitCause.PREFILL_CAPACITY, services.clock().nanos());
            waitTimer = services.timers().schedule(defer.delay(), this::place);
        } else if (decision instanceof PlacementDecision.Unplaceable unplaceable) {
            onUnplaceable(unplaceable);
        }
    }

    /**
     * Retries placement for a while instead of refusing the request. Just after a restart of all entries none of them
     * can order loads, and targets that are warming up take another request within a second; refused callers would
     * all retry at the same time.
     */
    private void onUnplaceable(PlacementDecision.Unplaceable unplaceable) {
        PlacementDecision.Reason reason = unplaceable.reason();
        boolean isTransient = reason == PlacementDecision.Reason.NO_HOLDER || reason == PlacementDecision.Reason.COLD;
        boolean mayRetry =
                isTransient && elapsed().compareTo(services.settings().placementRetryPeriod()) < 0;
        if (!mayRetry) {
            ResultCode code = reason == PlacementDecision.Reason.LIMITED ? ResultCode.OVERLOADED : ResultCode.NO_TARGET;
            giveUp(code, reason.name(), unplaceable.retryAfter().orElse(DEFAULT_RETRY_AFTER));
            return;
        }
        waitClock.startWait(WaitCause.ADAPTER, services.clock().nanos());
        waitTimer = services.timers().schedule(services.settings().placementRetryInterval(), this::place);
    }

    private long promptTokens() {
        return request.generation().map(GatewayRequest.Generation::promptTokens).orElse(0L);
    }

    private PlacementRequest placementRequest() {
        long now = services.clock().nanos();
        Optional<AdapterName> adapter = adapter();
        adapter.ifPresent(required ->
                loadWait.recordDeclined(target -> services.adapters().hasDeclined(target, required)));
        return new PlacementRequest(
                service,
                request.generation().map(GatewayRequest.Generation::model),
                adapter,
                adapter.map(services.adapters()::minimumVersion).orElse(0L),
                adapter.map(services.adapters()::namedVersion).orElse(0L),
                request.affinityKey(),
                promptTokens(),
                route.latencyObjective(),
                elapsed().compareTo(services.settings().maximumDeferral()) < 0,
                loadWait.loadingTargets(now),
                loadWait.slowLoadingTargets(now),
                admissionAttempts.saturatedTargets(),
                excludedTargets,
                permission.target());
    }

    private void awaitAdapter(Target target) {
        AdapterName adapter = adapter().orElseThrow();
        long now = services.clock().nanos();
        if (!loadWait.startOrContinue(now)) {
            giveUp(ResultCode.LOAD_FAILED, "the adapter is not loaded in time");
            return;
        }
        loadWait.recordRequest(target.id(), now);
        waitClock.startWait(WaitCause.ADAPTER, now);
        adapterWait.cancel();
        adapterWait = services.adapters().await(adapter, this::place);
        waitTimer = services.timers().schedule(services.settings().placementRetryInterval(), this::place);
        services.adapters()
                .enqueue(
                        target,
                        adapter,
                        Optional.of(route.latencyObjective().minus(elapsed())),
                        loadWait.mayBeDeclined());
    }

    private void requestTargetAdmission(PlacementDecision.Send send) {
        if (promptTokens() == 0 || !admissionAttempts.mayAttempt()) {
            requestPermission(send);
            return;
        }
        waitClock.startWait(WaitCause.PREFILL_CAPACITY, services.clock().nanos());
        Duration maximumDelay = admissionAttempts.maximumDelay(route.latencyObjective(), elapsed());
        pendingAdmission = services.admission()
                .admit(send.target(), promptTokens(), maximumDelay, decision -> onTargetAdmission(send, decision));
    }

    private void onTargetAdmission(PlacementDecision.Send send, TargetAdmission.Decision decision) {
        if (ended) {
            return;
        }
        if (!decision.admitted()) {
            admissionAttempts.recordRefusal(send.target().id());
            place();
        } else if (decision.delay().isZero()) {
            sendIfStillSendable(send);
        } else {
            waitTimer = services.timers().schedule(decision.delay(), () -> sendIfStillSendable(send));
        }
    }

    private void sendIfStillSendable(PlacementDecision.Send send) {
        waitClock.stopWait(services.clock().nanos());
        if (services.placement().isSendable(send.target())) {
            requestPermission(send);
        } else {
            place();
        }
    }

    /** Asks last, so that a request that has waited for anything else keeps to a limit that became known meanwhile. */
    private void requestPermission(PlacementDecision.Send send) {
        requestPermission(send.target(), () -> {
            permission.use();
            send(send);
        });
    }

    /**
     * Runs an action once a request may be sent to a target, or places this request again. A request asks before its
     * adapter is loaded too: where nothing is left of a target's limit, it would wait for the load in vain.
     */
    private void requestPermission(Target target, Runnable action) {
        Cancellable pending = permission.request(target, permitted -> onPermissionDecided(target, permitted, action));
        if (pending != Cancellable.NOOP) {
            pendingAdmission = pending;
        }
    }

    private void onPermissionDecided(Target target, boolean permitted, Runnable action) {
        if (ended) {
            return;
        }
        if (permitted && services.placement().isSendable(target)) {
            action.run();
        } else {
            place();
        }
    }

    private void send(PlacementDecision.Send send) {
        loadWait.reset();
        Target target = send.target();
        if (!isSendAllowed(send)) {
            return;
        }
        if (sends > 0) {
            services.retryBudgets().recordRetry(service);
        }
        sends++;
        log.logPlaced(send, progress(), account.map(this::quotaUnits).orElse(0.0));
        lastSentAt = OptionalLong.of(services.clock().nanos());
        adapter().ifPresent(adapter -> send.alsoLoad()
                .ifPresent(other -> services.adapters().enqueue(other, adapter, Optional.empty(), false)));
        Attempt newAttempt = new Attempt(services, target, request, new AttemptEvents(target));
        attempt = Optional.of(newAttempt);
        newAttempt.start(envelope(target), maximumIdle(), silenceLimits());
    }

    /**
     * Ends the exchange if sending the request would be a retry that is not allowed now or that is not answered in time.
     *
     * <p>Asked when the request is placed, so that it does not wait in vain, and again when it is sent.
     */
    private boolean isSendAllowed(PlacementDecision placed) {
        if (sends == 0) {
            return true;
        }
        RetryDecision retry = services.retryBudgets().decide(service, remaining(), expectedWait(placed));
        if (!retry.granted()) {
            log.logRetryDenied(retry);
            giveUp(ResultCode.OVERLOADED, "no retry is allowed now: " + retry.result());
        }
        return retry.granted();
    }

    /** Gets the expected time to the first part; placement does not estimate it for requests without a prompt. */
    private Optional<Duration> expectedWait(PlacementDecision placed) {
        if (promptTokens() == 0) {
            return Optional.empty();
        }
        return Optional.of(
                placed instanceof PlacementDecision.Send send
                        ? Duration.ofMillis(send.expectedWaitMillis())
                        : Duration.ZERO);
    }

    private TargetPort.RequestMetadata envelope(Target target) {
        OptionalLong version = adapter()
                .filter(adapter -> services.adapters().namedVersion(adapter) > 0)
                .map(target::residentVersion)
                .orElse(OptionalLong.empty());
        return new TargetPort.RequestMetadata(
                account.map(charged -> charged.id().value()),
                remaining(),
                urgency(),
                version,
                relay.resumeAfterNumber());
    }

    private int urgency() {
        int accountPriority =
                account.map(Account::priority).orElse(OptionalInt.empty()).orElse(1);
        return Math.min(
                LOWEST_URGENCY,
                accountPriority * URGENCY_STEPS_PER_ACCOUNT_PRIORITY
                        + Math.min(MAXIMUM_ROUTE_PRIORITY, route.priority()));
    }

    private Duration maximumIdle() {
        return route.retryPolicy().allowsRerun()
                ? services.settings().maximumIdleForRepeatable()
                : services.settings().maximumIdleForSingleRun();
    }

    private Attempt.SilenceLimits silenceLimits() {
        if (!route.retryPolicy().allowsRerun() || possiblyRunTargets.size() + 1 >= route.maximumTargets()) {
            return Attempt.SilenceLimits.NONE;
        }
        if (route.retryPolicy().isStream()) {
            return new Attempt.SilenceLimits(
                    Optional.of(services.settings().firstEventTimeout()),
                    Optional.of(services.settings().nextEventTimeout()));
        }
        Duration limit = Duration.ofNanos(
                (long) (remaining().toNanos() * services.settings().silenceTimeFraction()));
        return new Attempt.SilenceLimits(Optional.of(limit), Optional.empty());
    }

    /** Handles the events of one attempt. */
    private final class AttemptEvents implements Attempt.Listener {
        private final Target target;

        private AttemptEvents(Target target) {
            this.target = target;
        }

        @Override
        public void onNotExecuted(NotExecuted reason) {
            attempt = Optional.empty();
            log.logNotExecuted(target, reason);
            if (reason == NotExecuted.NOT_RESIDENT) {
                adapter()
                        .ifPresent(adapter ->
                                target.learnAbsent(adapter, services.clock().nanos()));
            } else {
                excludedTargets.add(target.id());
            }
            if (reason == NotExecuted.ANOTHER_TARGET) {
                services.registry().removeEnded(target);
            }
            retryOrGiveUp("not executed: " + reason);
        }

        @Override
        public boolean onHead(TargetAnswerHead head) {
            return relay.onHead(head);
        }

        @Override
        public boolean onPart(byte[] part) {
            return relay.onPart(part);
        }

        @Override
        public void onEnd() {
            attempt = Optional.empty();
            relay.eventInterval().ifPresent(interval -> services.paces().onStream(target, new PaceSample(interval)));
            if (!relay.isComplete()) {
                onFailed(true, "the stream ended within an event");
                return;
            }
            if (relay.isServerErrorPending()) {
                services.health().onFailure(target.id());
                possiblyRunTargets.add(target.id());
                excludedTargets.add(target.id());
                if (mayRunAgain()) {
                    retryOrGiveUp("the target failed");
                    return;
                }
            } else {
                services.health().onSuccess(target.id());
            }
            relay.finish();
            recordAnswerTime();
            finish(OutcomeListener.Kind.ANSWERED, relay.status());
        }

        @Override
        public void onFailed(boolean mayHaveRun, String reason) {
            attempt = Optional.empty();
            services.health().onFailure(target.id());
            excludedTargets.add(target.id());
            log.logAttemptFailed(target, mayHaveRun, reason, relay.lastEventNumber());
            if (mayHaveRun) {
                possiblyRunTargets.add(target.id());
            }
            relay.discardAttempt();
            if (!mayHaveRun || mayRunAgain()) {
                retryOrGiveUp(reason);
                return;
            }
            giveUp(ResultCode.OUTCOME_UNKNOWN, reason);
        }
    }

    private void recordAnswerTime() {
        boolean isPlainSuccess = promptTokens() == 0 && relay.status() < LOWEST_SERVER_ERROR;
        if (isPlainSuccess && sends == 1) {
            relay.timeToFirstPart(lastSentAt.orElse(startedAt))
                    .ifPresent(time -> services.retryBudgets().recordAnswer(service, time));
        }
    }

    private boolean mayRunAgain() {
        return route.retryPolicy().allowsRerun() && possiblyRunTargets.size() < route.maximumTargets();
    }

    private void retryOrGiveUp(String reason) {
        boolean hasTimeLeft = remaining().compareTo(services.settings().minimumRemaining()) > 0;
        if (hasTimeLeft && sends < services.settings().maximumSends()) {
            place();
            return;
        }
        giveUp(ResultCode.OVERLOADED, reason);
    }

    /** Ends the exchange at once without a complete answer, reporting what is known about whether the request ran. */
    private void giveUp(ResultCode notRunCode, String reason) {
        giveUp(notRunCode, reason, DEFAULT_RETRY_AFTER);
    }

    private void giveUp(ResultCode notRunCode, String reason, Duration retryAfter) {
        if (ended) {
            return;
        }
        if (relay.isBegun()) {
            logEnd(EventCode.REQUEST_FAILED, ResultCode.ANSWER_INTERRUPTED, reason);
            answer.abort();
            finish(OutcomeListener.Kind.CUT, relay.status());
            return;
        }
        if (relay.isServerErrorPending()) {
            relay.finish();
            finish(OutcomeListener.Kind.ANSWERED, relay.status());
            return;
        }
        if (possiblyRunTargets.isEmpty()) {
            refuse(Refusal.withRetryAfter(
                    notRunCode.httpStatus() == 503 ? notRunCode : ResultCode.NOT_RUN, reason, retryAfter));
            return;
        }
        logEnd(EventCode.OUTCOME_UNKNOWN, ResultCode.OUTCOME_UNKNOWN, reason);
        Refusal.of(ResultCode.OUTCOME_UNKNOWN, "a target may have run the request")
                .send(answer);
        finish(OutcomeListener.Kind.FAILED, ResultCode.OUTCOME_UNKNOWN.httpStatus());
    }

    private void refuse(Refusal refusal) {
        logEnd(EventCode.REQUEST_REFUSED, refusal.code(), refusal.message());
        refusal.send(answer);
        finish(OutcomeListener.Kind.REFUSED, refusal.code().httpStatus());
    }

    private ExchangeLog.Progress progress() {
        return new ExchangeLog.Progress(
                admitted, sends, elapsed(), waitClock.snapshot(services.clock().nanos()));
    }

    private void logEnd(EventCode event, ResultCode code, String reason) {
        log.logEnded(event, code, reason, progress());
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        attempt.ifPresent(running -> {
            possiblyRunTargets.add(running.target().id());
            running.cancel();
        });
        attempt = Optional.empty();
        if (relay.isBegun() || possiblyRunTargets.isEmpty()) {
            giveUp(ResultCode.NOT_RUN, "the time is up");
            return;
        }
        logEnd(EventCode.REQUEST_FAILED, ResultCode.DEADLINE_EXCEEDED, "the time is up");
        Refusal.of(ResultCode.DEADLINE_EXCEEDED, "the time for the request is up")
                .send(answer);
        finish(OutcomeListener.Kind.FAILED, ResultCode.DEADLINE_EXCEEDED.httpStatus());
    }

    void onCallerGone() {
        if (ended) {
            return;
        }
        attempt.ifPresent(Attempt::cancel);
        attempt = Optional.empty();
        log.logCallerGone(sends, elapsed());
        finish(OutcomeListener.Kind.CALLER_GONE, 0);
    }

    private void finish(OutcomeListener.Kind kind, int status) {
        if (ended) {
            return;
        }
        ended = true;
        deadlineTimer.cancel();
        pendingAdmission.cancel();
        waitTimer.cancel();
        adapterWait.cancel();
        services.outcomes()
                .onOutcome(new OutcomeListener.Outcome(
                        request.id(),
                        route,
                        account.map(Account::id),
                        kind,
                        status,
                        sends,
                        relay.timeToFirstPart(startedAt),
                        lastSentAt.isEmpty() ? Optional.empty() : relay.timeToFirstPart(lastSentAt.getAsLong()),
                        waitClock.snapshot(services.clock().nanos()),
                        relay.maximumPause(),
                        elapsed()));
        onEnd.accept(this);
    }
}
