package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.UnexpectedFailure;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.gateway.traffic.TrafficConfiguration;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ResultCode;

/**
 * Receives requests of callers, finds their route and client account, and starts an exchange or refuses them.
 *
 * <p>Invariants: an entry without a configuration asks callers to retry and never reports that something does not exist; each request has an
 * outcome, at the latest at its deadline, also if handling it fails.
 * Confined to the event loop.
 */
public final class RequestHandler {

    private static final Duration UNCONFIGURED_RETRY_AFTER = Duration.ofMillis(500);

    /** Beside the first run or after it nothing more is known than that there may be one. */
    private static final Refusal REPEATED =
            Refusal.of(ResultCode.OUTCOME_UNKNOWN, "a request with this id has come before and may have run");

    private static final Refusal EXITING =
            Refusal.withRetryAfter(ResultCode.DRAINING, "this entry exits", Duration.ZERO);

    private static final Refusal TIME_UP =
            Refusal.withRetryAfter(ResultCode.NOT_RUN, "the time is up", Refusal.DEFAULT_RETRY_AFTER);

    private static final Refusal FAILED = Refusal.withRetryAfter(
            ResultCode.NOT_RUN, "this entry has failed to handle the request", Refusal.DEFAULT_RETRY_AFTER);

    /** An exchange ends by itself at its deadline; later than this it has failed to. */
    private static final Duration OVERDUE_MARGIN = Duration.ofMillis(100);

    private final ExchangeServices services;
    private final Supplier<Optional<TrafficConfiguration>> configuration;
    private final DoubleSupplier serviceDraw;
    private final Map<Exchange, Cancellable> openExchanges = new HashMap<>();
    private final ExchangeDeadlines deadlines = new ExchangeDeadlines();
    private final Set<WaitingRequest> waitingRequests = new HashSet<>();
    private final StartupQueue startupQueue;
    private final StreamResumption resumption;
    private final SingleRunRequests singleRuns;
    private final HandlerState state;

    /**
     * Creates a handler.
     *
     * @param services the collaborators shared by all exchanges, not null
     * @param configuration the current configuration, empty until one is known, not null
     * @param serviceDraw random numbers from 0 inclusive to 1 exclusive for the weighted choice of a service, not null
     */
    public RequestHandler(
            ExchangeServices services,
            Supplier<Optional<TrafficConfiguration>> configuration,
            DoubleSupplier serviceDraw) {
        this.services = Objects.requireNonNull(services, "services");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.serviceDraw = Objects.requireNonNull(serviceDraw, "serviceDraw");
        this.startupQueue = new StartupQueue(services.timers());
        this.resumption = new StreamResumption(services);
        this.singleRuns = new SingleRunRequests(services.clock());
        this.state = HandlerState.create(services.clock(), services.log());
        OutdatedAttempts outdated = new OutdatedAttempts(services, () -> Set.copyOf(openExchanges.keySet()));
        services.adapters().onVersionNamed(outdated::onVersionNamed);
        services.crashes().onRefused(() -> Set.copyOf(openExchanges.keySet()).forEach(Exchange::onRefusalsChanged));
    }

    /**
     * Receives a request.
     *
     * @param request the request, not null
     * @param arrival when the request came, not null
     * @param answer the answer to write to, not null
     * @return the pending request, cancelled when the caller disconnects, not null
     */
    public Cancellable receive(GatewayRequest request, Arrival arrival, CallerAnswer answer) {
        endDueExchanges();
        ReceivedRequest received =
                new ReceivedRequest(request, arrival, answer, services.clock().nanos());
        if (startupQueue.isEnded()) {
            return handleByFreshRows(received);
        }
        return await(
                received,
                next -> startupQueue.hold(
                        received.left(request.callerTimeout(), received.takenAt()),
                        () -> next.accept(handle(received))));
    }

    /** Answers the requests whose time is up before a new one is begun, whose timers may be queued behind it. */
    private void endDueExchanges() {
        long now = services.clock().nanos();
        for (Optional<Exchange> due = deadlines.pollDue(now); due.isPresent(); due = deadlines.pollDue(now)) {
            endDue(due.get());
        }
    }

    private void endDue(Exchange exchange) {
        try {
            exchange.onDeadline();
        } catch (RuntimeException failure) {
            UnexpectedFailure.log(services.log(), exchange.requestId(), failure);
            abandon(exchange, FAILED);
        }
    }

    /**
     * Waits until a request can go on.
     *
     * @param start starts the wait and passes on what goes on after it, possibly at once, not null
     * @return the wait, or what goes on after it, not null
     */
    private Cancellable await(ReceivedRequest received, Function<Consumer<Cancellable>, Cancellable> start) {
        WaitingRequest waiting = new WaitingRequest(received);
        waitingRequests.add(waiting);
        Cancellable wait = start.apply(waiting::end);
        if (waitingRequests.contains(waiting)) {
            waiting.current = wait;
        }
        return waiting;
    }

    /** A request that waits before an exchange can start, and then the handle that cancels its exchange. */
    private final class WaitingRequest implements Cancellable {
        private final ReceivedRequest received;
        private Cancellable current = Cancellable.NOOP;

        private WaitingRequest(ReceivedRequest received) {
            this.received = received;
        }

        private void end(Cancellable next) {
            waitingRequests.remove(this);
            current = next;
        }

        private void refuseAtExit() {
            waitingRequests.remove(this);
            current.cancel();
            refuse(received.request(), received.answer(), EXITING);
        }

        @Override
        public void cancel() {
            if (waitingRequests.remove(this)) {
                services.log().write(EventCode.CALLER_GONE, received.request().id(), Field.of("arrivals", 0));
            }
            current.cancel();
        }
    }

    /** Called when the entry knows everything that it needs to handle requests. */
    public void onStarted() {
        startupQueue.end();
    }

    /** Handles a request once the configuration is fresh, by which it is decided for as long as it lasts. */
    private Cancellable handleByFreshRows(ReceivedRequest received) {
        Optional<Duration> untilRowsAreFresh = services.rows().timeUntilNextCheck();
        if (untilRowsAreFresh.isEmpty()) {
            return handle(received);
        }
        Duration limit = received.left(received.request().callerTimeout(), received.takenAt());
        return await(
                received,
                next -> FreshRowsWait.start(
                        services.rows(),
                        services.timers(),
                        untilRowsAreFresh.get(),
                        limit,
                        () -> next.accept(handle(received))));
    }

    private Cancellable handle(ReceivedRequest received) {
        try {
            return admit(received);
        } catch (RuntimeException failure) {
            UnexpectedFailure.log(services.log(), received.request().id(), failure);
            return refuse(received.request(), received.answer(), FAILED);
        }
    }

    private Cancellable admit(ReceivedRequest received) {
        GatewayRequest request = received.request();
        CallerAnswer answer = received.answer();
        Optional<TrafficConfiguration> current = configuration.get();
        if (current.isEmpty()) {
            return refuse(
                    request,
                    answer,
                    Refusal.withRetryAfter(
                            ResultCode.NOT_FRESH, "no configuration is known yet", UNCONFIGURED_RETRY_AFTER));
        }
        Optional<Route> route = current.get().route(request.host(), request.path());
        if (route.isEmpty()) {
            return refuse(request, answer, Refusal.of(ResultCode.UNKNOWN_PATH, "no route"));
        }
        Optional<Account> account = request.key().flatMap(current.get()::accountByKey);
        boolean requiresKey = current.get().requiresKeys() && !route.get().anonymous();
        if (requiresKey && account.isEmpty()) {
            ResultCode code = request.key().isPresent() ? ResultCode.KEY_REFUSED : ResultCode.KEY_MISSING;
            return refuse(request, answer, Refusal.of(code, "a key of a client account is needed"));
        }
        Duration timeLimit = route.get().effectiveTimeout(request.callerTimeout());
        if (!state.drain().admits(request, route.get(), timeLimit)) {
            return refuse(request, answer, state.drain().refusal(timeLimit));
        }
        return route(received, route.get(), requiresKey ? account : Optional.empty());
    }

    private Cancellable route(ReceivedRequest received, Route route, Optional<Account> account) {
        GatewayRequest request = received.request();
        String service = route.chooseService(
                route.retryPolicy() == RetryPolicy.RESUMABLE_STREAM
                        ? StreamResumption.serviceDraw(request, route)
                        : serviceDraw.getAsDouble());
        if (!StreamResumption.isResumption(request, route)) {
            return start(received, route, account, ServiceChoice.anyVersion(service));
        }
        return await(
                received,
                next -> resumption.decide(
                        request,
                        route,
                        account,
                        service,
                        decision -> next.accept(decision.origin()
                                .map(origin -> start(received, route, account, ServiceChoice.of(origin)))
                                .orElseGet(() -> refuse(request, received.answer(), decision.refusal())))));
    }

    private Cancellable start(ReceivedRequest received, Route route, Optional<Account> account, ServiceChoice choice) {
        GatewayRequest request = received.request();
        Duration timeLimit = route.effectiveTimeout(request.callerTimeout());
        Duration timeLeft = received.left(timeLimit, services.clock().nanos());
        if (timeLeft.compareTo(services.settings().minimumRemaining()) < 0) {
            return refuse(request, received.answer(), TIME_UP);
        }
        if (!route.retryPolicy().allowsRerun()
                && !singleRuns.tryBegin(account.map(Account::id), request.id(), timeLimit)) {
            return refuse(request, received.answer(), REPEATED);
        }
        Exchange exchange = new Exchange(services, received, route, choice, account, state, this::onEnded);
        openExchanges.put(
                exchange, services.timers().schedule(timeLeft.plus(OVERDUE_MARGIN), () -> onOverdue(exchange)));
        deadlines.add(exchange);
        try {
            exchange.start();
        } catch (RuntimeException failure) {
            UnexpectedFailure.log(services.log(), received.request().id(), failure);
            abandon(exchange, FAILED);
        }
        return exchange::onCallerGone;
    }

    private void onEnded(Exchange exchange) {
        if (!exchange.mayHaveRun()) {
            singleRuns.onEndedWithoutRun(exchange.accountId(), exchange.requestId());
        }
        deadlines.remove(exchange);
        Cancellable overdueTimer = openExchanges.remove(exchange);
        if (overdueTimer != null) {
            overdueTimer.cancel();
        }
    }

    private void onOverdue(Exchange exchange) {
        services.log()
                .write(
                        EventCode.UNEXPECTED_FAILURE,
                        exchange.requestId(),
                        Field.of("reason", "the request has no outcome at its deadline"));
        abandon(exchange, FAILED);
    }

    /** Ends an exchange, whatever state a failure may have left it in. */
    private void abandon(Exchange exchange, Refusal notRun) {
        try {
            exchange.abandon(notRun);
        } catch (RuntimeException failure) {
            UnexpectedFailure.log(services.log(), exchange.requestId(), failure);
            exchange.abort();
        } finally {
            onEnded(exchange);
        }
    }

    /**
     * Starts draining because the process is about to exit.
     *
     * @param startedAt when the process was told to stop, in nanoseconds of the clock
     * @param drainTime the time from then until the process exits, not null
     */
    public void drain(long startedAt, Duration drainTime) {
        state.drain().start(DrainRule.of(startedAt, drainTime));
        Set.copyOf(openExchanges.keySet()).forEach(Exchange::onDrainStarted);
    }

    /** Refuses all further requests, because the process exits once the admitted ones are answered. */
    public void close() {
        state.drain().start(DrainRule.closed(services.clock().nanos()));
    }

    /**
     * Ends all requests, because the process exits now.
     *
     * <p>Those that no target can have begun are refused; of the others their callers learn that the outcome is unknown, unless their
     * answers have begun, which break off.
     */
    public void endOpenRequests() {
        close();
        Set.copyOf(waitingRequests).forEach(WaitingRequest::refuseAtExit);
        Set.copyOf(openExchanges.keySet()).forEach(exchange -> abandon(exchange, EXITING));
    }

    private Cancellable refuse(GatewayRequest request, CallerAnswer answer, Refusal refusal) {
        services.log()
                .write(
                        EventCode.REQUEST_REFUSED,
                        request.id(),
                        Field.of("code", refusal.code()),
                        Field.of("host", request.host()),
                        Field.of(
                                "configuration",
                                configuration
                                        .get()
                                        .map(TrafficConfiguration::version)
                                        .orElse(0L)));
        refusal.send(answer);
        return Cancellable.NOOP;
    }

    /**
     * Gets the number of exchanges that have not ended.
     *
     * @return the number
     */
    public int openExchanges() {
        return openExchanges.size();
    }
}
