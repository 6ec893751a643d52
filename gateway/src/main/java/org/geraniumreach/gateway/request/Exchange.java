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
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.TargetId;

/**
 * One request from its admission to its one final answer.
 *
 * <p>Invariants: at most one attempt is under way; after an attempt that a target may have begun, another is made only if
 * the request may run again, on no more targets than the route allows; "not run" is answered only if no target may have begun it;
 * a stream goes on only after the last whole event that the caller was sent, with the head of its first target; an answer that
 * breaks off is cut, never ended. Confined to the event loop.
 */
final class Exchange {

    private static final Duration COME_BACK = Duration.ofMillis(700);
    private static final int PRIORITY_STEP = 3;
    private static final int LAST_RANK = 2;
    private static final int LEAST_URGENT = 9;

    private final ExchangeServices services;
    private final GatewayRequest request;
    private final Route route;
    private final String service;
    private final Optional<Account> account;
    private final CallerAnswer answer;
    private final Consumer<Exchange> onEnd;
    private final long startedAt;
    private final Duration limit;
    private final Set<TargetId> avoided = new HashSet<>();
    private final Set<TargetId> mayHaveRun = new HashSet<>();
    private final LoadWait loadWait;
    private final AdmissionAttempts turns = new AdmissionAttempts();
    private final AnswerRelay relay;
    private final ExchangeLog log;
    private final WaitClock waits = new WaitClock();
    private Cancellable limitTimer = Cancellable.NOTHING;
    private Cancellable admission = Cancellable.NOTHING;
    private Cancellable waitTimer = Cancellable.NOTHING;
    private Cancellable adapterWait = Cancellable.NOTHING;
    private Optional<Attempt> attempt = Optional.empty();

    private OptionalLong sentAt = OptionalLong.empty();
    private int arrivals;
    private boolean admitted;
    private boolean ended;

    Exchange(
            ExchangeServices services,
            Arrival arrival,
            Route route,
            String service,
            Optional<Account> account,
            Consumer<Exchange> onEnd) {
        this.services = services;
        this.request = arrival.request();
        this.route = route;
        this.service = service;
        this.account = account;
        this.answer = arrival.answer();
        this.onEnd = onEnd;
        this.startedAt = arrival.at();
        this.limit = route.longest(request.patience());
        ExchangeSettings settings = services.settings();
        this.loadWait = new LoadWait(settings.longestLoadWait(limit, route.objective()), settings.slowLoad());
        this.relay = new AnswerRelay(answer, request.lastEvent(), services.clock());
        this.log = new ExchangeLog(services.log(), services.clock(), request, service, account.map(Account::id));
    }

    void start() {
        limitTimer = services.timers().after(left(), this::timeIsUp);
        admit();
    }

    private Duration elapsed() {
        return Duration.ofNanos(services.clock().nanos() - startedAt);
    }

    private Duration left() {
        return limit.minus(elapsed());
    }

    private void admit() {
        if (account.isEmpty()) {
            admitted();
            return;
        }
        waits.waitsFor(WaitCause.RATE, services.clock().nanos());
        admission = services.quotas().admit(account.get(), units(account.get()), limit, this::onAdmission);
    }

    private void onAdmission(Quotas.Admission decision) {
        if (ended) {
            return;
        }
        if (!decision.admitted()) {
            refuse(Refusal.until(
                    ResultCode.OUT_OF_BUDGET,
                    "the client account is above its rate",
                    decision.delay().orElse(COME_BACK)));
            return;
        }
        Duration delay = decision.delay().orElse(Duration.ZERO);
        if (delay.isZero()) {
            admitted();
        } else {
            waitTimer = services.timers().after(delay, this::admitted);
        }
    }

    private double units(Account of) {
        if (!of.countsTokens()) {
            return 1;
        }
        return request.generation()
                .map(GatewayRequest.Generation::countedTokens)
                .orElse(of.plainUnits());
    }

    private void admitted() {
        admitted = true;
        adapter().ifPresent(adapter -> services.placement().requested(adapter, promptTokens()));
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
        waits.goesOn(services.clock().nanos());
        if (left().compareTo(services.settings().leastLeft()) < 0) {
            return;
        }
        PlacementDecision placed = services.placement().place(need());
        if (placed instanceof PlacementDecision.Send send) {
            adapterWait.cancel();
            awaitTurn(send);
        } else if (placed instanceof PlacementDecision.Load load) {
            awaitAdapter(load.target());
        } else if (placed instanceof PlacementDecision.Later later) {
            adapterWait.cancel();
            waits.waitsFor(WaitCause.ROOM, services.clock().nanos());
            waitTimer = services.timers().after(later.delay(), this::place);
        } else if (placed instanceof PlacementDecision.Nowhere nowhere) {
            nowhere(nowhere.reason());
        }
    }

    /**
     * Nobody can order targets in the first moments after all entries have ended together, and targets that warm up take another request within a
     * second; refused, all callers came back at once.
     */
    private void nowhere(PlacementDecision.Reason reason) {
        boolean isShort = reason == PlacementDecision.Reason.NO_HOLDER || reason == PlacementDecision.Reason.COLD;
        boolean mayChange = isShort && elapsed().compareTo(services.settings().holderWait()) < 0;
        if (!mayChange) {
            giveUp(ResultCode.NO_TARGET, reason.name());
            return;
        }
        waits.waitsFor(WaitCause.ADAPTER, services.clock().nanos());
        waitTimer = services.timers().after(services.settings().lookAgain(), this::place);
    }

    private long promptTokens() {
        return request.generation().map(GatewayRequest.Generation::promptTokens).orElse(0L);
    }

    private PlacementRequest need() {
        long now = services.clock().nanos();
        Optional<AdapterName> adapter = adapter();
        adapter.ifPresent(
                wanted -> loadWait.noteDeclined(target -> services.adapters().hasDeclined(target, wanted)));
        return new PlacementRequest(
                service,
                request.generation().map(GatewayRequest.Generation::model),
                adapter,
                adapter.map(services.adapters()::requiredVersion).orElse(0L),
                adapter.map(services.adapters()::namedVersion).orElse(0L),
                request.affinity(),
                promptTokens(),
                route.objective(),
                elapsed().compareTo(services.settings().longestHold()) < 0,
                loadWait.loaders(now),
                loadWait.slowLoaders(now),
                turns.saturated(),
                avoided);
    }

    private void awaitAdapter(Target target) {
        AdapterName adapter = adapter().orElseThrow();
        long now = services.clock().nanos();
        if (!loadWait.goesOn(now)) {
            giveUp(ResultCode.LOAD_FAILED, "the adapter is not loaded in time");
            return;
        }
        loadWait.asked(target.id(), now);
        waits.waitsFor(WaitCause.ADAPTER, now);
        adapterWait.cancel();
        adapterWait = services.adapters().await(adapter, this::place);
        waitTimer = services.timers().after(services.settings().lookAgain(), this::place);
        services.adapters()
                .enqueue(target, adapter, Optional.of(route.objective().minus(elapsed())), loadWait.mayBeDeclined());
    }

    private void awaitTurn(PlacementDecision.Send send) {
        if (promptTokens() == 0 || !turns.mayAsk()) {
            send(send);
            return;
        }
        waits.waitsFor(WaitCause.ROOM, services.clock().nanos());
        Duration longestDelay = turns.longestDelay(route.objective(), elapsed());
        admission = services.admission()
                .admit(send.target(), promptTokens(), longestDelay, decision -> onTurn(send, decision));
    }

    private void onTurn(PlacementDecision.Send send, TargetAdmission.Decision decision) {
        if (ended) {
            return;
        }
        if (!decision.admitted()) {
            turns.refused(send.target().id());
            place();
        } else if (decision.delay().isZero()) {
            sendIfStillPossible(send);
        } else {
            waitTimer = services.timers().after(decision.delay(), () -> sendIfStillPossible(send));
        }
    }

    private void sendIfStillPossible(PlacementDecision.Send send) {
        waits.goesOn(services.clock().nanos());
        if (services.placement().isSendable(send.target())) {
            send(send);
        } else {
            place();
        }
    }

    private void send(PlacementDecision.Send send) {
        loadWait.sent();
        Target target = send.target();
        if (arrivals > 0 && !services.repeats().take(service)) {
            giveUp(ResultCode.OVERLOADED, "no second arrival is allowed now");
            return;
        }
        arrivals++;
        log.placed(send, progress(), account.map(this::units).orElse(0.0));
        sentAt = OptionalLong.of(services.clock().nanos());
        adapter().ifPresent(adapter -> send.alsoLoad()
                .ifPresent(other -> services.adapters().enqueue(other, adapter, Optional.empty(), false)));
        Attempt started = new Attempt(services, target, request, new AttemptEvents(target));
        attempt = Optional.of(started);
        started.start(envelope(target), longestIdle(), silenceLimits());
    }

    private TargetPort.Envelope envelope(Target target) {
        OptionalLong version = adapter()
                .filter(adapter -> services.adapters().namedVersion(adapter) > 0)
                .map(target::residentVersion)
                .orElse(OptionalLong.empty());
        return new TargetPort.Envelope(
                account.map(known -> known.id().value()), left(), urgency(), version, relay.resumeAfter());
    }

    private int urgency() {
        int accountRank =
                account.map(Account::priority).orElse(OptionalInt.empty()).orElse(1);
        return Math.min(LEAST_URGENT, accountRank * PRIORITY_STEP + Math.min(LAST_RANK, route.priority()));
    }

    private Duration longestIdle() {
        return route.repeatRule().mayRunAgain()
                ? services.settings().keptConnection()
                : services.settings().youngConnection();
    }

    private Attempt.SilenceLimits silenceLimits() {
        if (!route.repeatRule().mayRunAgain() || mayHaveRun.size() + 1 >= route.maximumTargets()) {
            return Attempt.SilenceLimits.NONE;
        }
        if (route.repeatRule().isStream()) {
            return new Attempt.SilenceLimits(
                    Optional.of(services.settings().silentStart()),
                    Optional.of(services.settings().silentPause()));
        }
        Duration share =
                Duration.ofNanos((long) (left().toNanos() * services.settings().silentShare()));
        return new Attempt.SilenceLimits(Optional.of(share), Optional.empty());
    }

    /** What comes of one attempt. */
    private final class AttemptEvents implements Attempt.Listener {
        private final Target target;

        private AttemptEvents(Target target) {
            this.target = target;
        }

        @Override
        public void notExecuted(NotExecuted why) {
            attempt = Optional.empty();
            log.notExecuted(target, why);
            if (why == NotExecuted.NOT_RESIDENT) {
                adapter()
                        .ifPresent(adapter ->
                                target.learnAbsent(adapter, services.clock().nanos()));
            } else {
                avoided.add(target.id());
            }
            if (why == NotExecuted.ANOTHER_TARGET) {
                services.registry().ended(target);
            }
            again("not executed: " + why);
        }

        @Override
        public boolean head(TargetAnswerHead head) {
            return relay.head(head);
        }

        @Override
        public boolean part(byte[] part) {
            return relay.part(part);
        }

        @Override
        public void end() {
            attempt = Optional.empty();
            if (!relay.isWhole()) {
                failed(true, "the stream ended within an event");
                return;
            }
            if (relay.isServerFault()) {
                services.health().failed(target.id());
                mayHaveRun.add(target.id());
                avoided.add(target.id());
                if (canRunAgain()) {
                    again("the target failed");
                    return;
                }
            } else {
                services.health().succeeded(target.id());
            }
            relay.finish();
            finish(OutcomeListener.Kind.ANSWERED, relay.status());
        }

        @Override
        public void failed(boolean mayRun, String reason) {
            attempt = Optional.empty();
            services.health().failed(target.id());
            avoided.add(target.id());
            log.attemptFailed(target, mayRun, reason, relay.lastEvent());
            if (mayRun) {
                mayHaveRun.add(target.id());
            }
            relay.attemptLost();
            if (!mayRun || canRunAgain()) {
                again(reason);
                return;
            }
            giveUp(ResultCode.OUTCOME_UNKNOWN, reason);
        }
    }

    private boolean canRunAgain() {
        return route.repeatRule().mayRunAgain() && mayHaveRun.size() < route.maximumTargets();
    }

    private void again(String reason) {
        boolean timeLeft = left().compareTo(services.settings().leastLeft()) > 0;
        if (timeLeft && arrivals < services.settings().mostArrivals()) {
            place();
            return;
        }
        giveUp(ResultCode.OVERLOADED, reason);
    }

    /** Ends the exchange without a whole answer, at once, with as much as is known of what ran. */
    private void giveUp(ResultCode notRunCode, String reason) {
        if (ended) {
            return;
        }
        if (relay.isBegun()) {
            note(EventCode.REQUEST_FAILED, ResultCode.ANSWER_INTERRUPTED, reason);
            answer.abort();
            finish(OutcomeListener.Kind.CUT, relay.status());
            return;
        }
        if (relay.isServerFault()) {
            relay.finish();
            finish(OutcomeListener.Kind.ANSWERED, relay.status());
            return;
        }
        if (mayHaveRun.isEmpty()) {
            refuse(Refusal.until(notRunCode.httpStatus() == 503 ? notRunCode : ResultCode.NOT_RUN, reason, COME_BACK));
            return;
        }
        note(EventCode.OUTCOME_UNKNOWN, ResultCode.OUTCOME_UNKNOWN, reason);
        Refusal.of(ResultCode.OUTCOME_UNKNOWN, "a target may have run the request")
                .send(answer);
        finish(OutcomeListener.Kind.FAILED, ResultCode.OUTCOME_UNKNOWN.httpStatus());
    }

    private void refuse(Refusal refusal) {
        note(EventCode.REQUEST_REFUSED, refusal.code(), refusal.message());
        refusal.send(answer);
        finish(OutcomeListener.Kind.REFUSED, refusal.code().httpStatus());
    }

    private ExchangeLog.Progress progress() {
        return new ExchangeLog.Progress(
                admitted, arrivals, elapsed(), waits.waits(services.clock().nanos()));
    }

    private void note(EventCode event, ResultCode code, String reason) {
        log.ended(event, code, reason, progress());
    }

    private void timeIsUp() {
        if (ended) {
            return;
        }
        attempt.ifPresent(running -> {
            mayHaveRun.add(running.target().id());
            running.cancel();
        });
        attempt = Optional.empty();
        if (relay.isBegun() || mayHaveRun.isEmpty()) {
            giveUp(ResultCode.NOT_RUN, "the time is up");
            return;
        }
        note(EventCode.REQUEST_FAILED, ResultCode.DEADLINE_EXCEEDED, "the time is up");
        Refusal.of(ResultCode.DEADLINE_EXCEEDED, "the time for the request is up")
                .send(answer);
        finish(OutcomeListener.Kind.FAILED, ResultCode.DEADLINE_EXCEEDED.httpStatus());
    }

    void callerGone() {
        if (ended) {
            return;
        }
        attempt.ifPresent(Attempt::cancel);
        attempt = Optional.empty();
        log.callerGone(arrivals, elapsed());
        finish(OutcomeListener.Kind.CALLER_GONE, 0);
    }

    private void finish(OutcomeListener.Kind kind, int status) {
        if (ended) {
            return;
        }
        ended = true;
        limitTimer.cancel();
        admission.cancel();
        waitTimer.cancel();
        adapterWait.cancel();
        services.outcomes()
                .ended(new OutcomeListener.Outcome(
                        request.id(),
                        route,
                        account.map(Account::id),
                        kind,
                        status,
                        arrivals,
                        relay.firstPartAfter(startedAt),
                        sentAt.isEmpty() ? Optional.empty() : relay.firstPartAfter(sentAt.getAsLong()),
                        waits.waits(services.clock().nanos()),
                        relay.longestPause(),
                        elapsed()));
        onEnd.accept(this);
    }
}
